//! Intervals, timeouts and size limits of membership and dissemination.

use crate::clock::TimeSpan;

/// Interval between ticks.
pub const TICK_SPAN: TimeSpan = TimeSpan::from_millis(100);
/// Interval between the probes of one node.
pub const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Timeout of a probe.
pub const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);
/// Timeout of a request to another node to probe a third one.
pub const RELAY_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_300);
/// Timeout of a call that transfers changes.
pub const TRANSFER_TIMEOUT: TimeSpan = TimeSpan::from_millis(5_000);
/// Number of members asked to probe a member that did not reply.
pub const RELAY_COUNT: usize = 3;
/// Minimum time for which a member stays suspect before it is declared dead.
pub const SUSPICION_TIMEOUT_BASE: TimeSpan = TimeSpan::from_millis(2_000);
/// Added to the suspicion timeout for each doubling of the cluster size.
pub const SUSPICION_TIMEOUT_PER_DOUBLING: TimeSpan = TimeSpan::from_millis(500);
/// Interval between attempts to contact a dead member or a silent seed.
pub const RECONNECT_INTERVAL: TimeSpan = TimeSpan::from_millis(2_000);
/// Time after which a dead member that the membership list does not name is
/// removed.
pub const DEAD_MEMBER_RETENTION: TimeSpan = TimeSpan::from_millis(120_000);
/// Time without any event beyond which the process is considered to have been
/// paused.
pub const PAUSE_THRESHOLD: TimeSpan = TimeSpan::from_millis(1_500);
/// Time after which a joining node no longer waits for further peers and the
/// platform.
pub const JOIN_TIMEOUT: TimeSpan = TimeSpan::from_millis(4_000);
/// Number of peers that must reply before a node is ready.
pub const JOIN_PEERS: usize = 2;
/// Maximum age of the membership list's confirmation at which a node stays ready
/// without reaching half of the cluster.
pub const MAX_CONFIRMATION_AGE: TimeSpan = TimeSpan::from_millis(5_000);
/// Maximum age of the probe outcomes from which reachability is estimated.
pub const REACHABILITY_WINDOW: TimeSpan = TimeSpan::from_millis(6_000);
/// Maximum number of probe outcomes from which reachability is estimated.
pub const REACHABILITY_PROBES: usize = 8;

/// Number of nodes in each availability zone that watch a feed at the platform.
pub const READERS_PER_ZONE: usize = 3;
/// Minimum interval between reader assignments.
pub const MIN_ASSIGNMENT_INTERVAL: TimeSpan = TimeSpan::from_millis(300);
/// How long the platform may hold a watch open for a change.
pub const WATCH_WAIT: TimeSpan = TimeSpan::from_millis(2_000);
/// Time allowed for the platform's answer in addition to the wait of the watch.
pub const READ_SLACK: TimeSpan = TimeSpan::from_millis(2_000);
/// Time from which a watch that fails counts as accepted and then cut, which a
/// platform that works may do at any time.
pub const MIN_CUT_WATCH_TIME: TimeSpan = TimeSpan::from_millis(50);
/// Minimum interval between the starts of two reads of a feed.
pub const MIN_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Backoff after the first failed read; doubles with each further failure.
pub const INITIAL_READ_BACKOFF: TimeSpan = TimeSpan::from_millis(250);
/// Maximum backoff after failed reads.
pub const MAX_READ_BACKOFF: TimeSpan = TimeSpan::from_millis(4_000);
/// Age of the last confirmation after which nodes that are not assigned readers
/// volunteer to read.
pub const VOLUNTEER_AGE: TimeSpan = TimeSpan::from_millis(8_000);
/// Milliseconds for each node of the cluster in the interval over which volunteers
/// spread their reads.
pub const VOLUNTEER_SPREAD_PER_NODE_MS: u64 = 5;
/// Maximum number of times that the spread of volunteers is doubled.
pub const MAX_VOLUNTEER_DOUBLINGS: u32 = 4;
/// Milliseconds for each seed in the interval over which starting nodes spread
/// their first read.
pub const FIRST_READ_SPREAD_PER_SEED_MS: u64 = 100;

/// Number of peers to which each node announces a change that it learned.
pub const ANNOUNCEMENT_FANOUT: usize = 3;
/// Minimum interval between announcements.
pub const MIN_ANNOUNCEMENT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Time for which a node expects a push of changes that were announced to it.
pub const EXPECTED_PUSH_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);
/// Minimum interval between comparisons of replicas at the same revision.
pub const MIN_REPAIR_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Maximum bytes of unrequested feed changes in the reply to a probe.
pub const INLINE_BYTES: usize = 8 * 1024;
/// Maximum bytes of feed changes in one transfer.
pub const TRANSFER_BYTES: usize = 256 * 1024;
/// Maximum bytes of items in one message of a repair.
pub const REPAIR_BYTES: usize = 1024 * 1024;
/// Maximum number of item digests in one list of differences.
pub const REPAIR_DIGESTS: usize = 20_000;
/// Maximum number of piggybacked member records in one message.
pub const MEMBERS_PER_MESSAGE: usize = 10;
/// Maximum number of piggybacked member records in one message while there is a
/// backlog.
pub const MEMBERS_PER_BACKLOGGED_MESSAGE: usize = 40;
/// Number of queued member records above which there is a backlog.
pub const UPDATE_BACKLOG_THRESHOLD: usize = 100;
/// Bandwidth budget for comparing member tables, in bytes per second.
pub const MEMBER_SYNC_BYTES_PER_SECOND: u64 = 150;
/// Encoded size of a bucket digest in bytes.
pub const DIGEST_BYTES: u64 = 9;
/// Encoded size of a member record in bytes.
pub const MEMBER_BYTES: u64 = 45;
/// Minimum interval between comparisons of member tables.
pub const MIN_MEMBER_SYNC_INTERVAL: TimeSpan = TimeSpan::from_millis(10_000);
/// Maximum number of piggybacked handovers in one message.
pub const HANDOVERS_PER_MESSAGE: usize = 8;
/// Bandwidth budget for requesting all handovers, in bytes per second.
pub const HANDOVER_SYNC_BYTES_PER_SECOND: u64 = 300;
/// Encoded size of a handover in bytes.
pub const HANDOVER_BYTES: u64 = 70;
/// Minimum interval between requests for all handovers.
pub const MIN_HANDOVER_SYNC_INTERVAL: TimeSpan = TimeSpan::from_millis(2_000);
/// Time after which a handover record expires.
pub const HANDOVER_LIFETIME: TimeSpan = TimeSpan::from_millis(600_000);
/// Maximum number of handovers held at once.
pub const MAX_HANDOVERS: usize = 4_096;
