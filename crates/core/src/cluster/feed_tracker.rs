use fastrand::Rng;

use super::{
    FeedState,
    read_schedule::ReadSchedule,
    timings::{EXPECTED_PUSH_TIMEOUT, MIN_CUT_WATCH_TIME, READ_SLACK, WATCH_WAIT},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    feed::{FeedAssembly, FeedDelta, FeedKind, FeedLimits, FeedReplica},
    ids::RevisionNumber,
};

/// A node's replica of a feed, and the state that keeps it up to date.
#[derive(Clone, Debug)]
pub(super) struct FeedTracker {
    pub(super) kind: FeedKind,
    pub(super) replica: FeedReplica,
    /// Time of the most recent confirmation by the platform that the node knows
    /// of, its own or a peer's.
    pub(super) confirmed_at: Option<ClockTime>,
    /// Whether a read from the platform has completed or failed since the start
    /// or the last pause.
    pub(super) read_attempted: bool,
    pub(super) schedule: ReadSchedule,
    /// The read from the platform in progress.
    pub(super) read: Option<PendingRead>,
    /// The transfer from a peer in progress.
    pub(super) pull: Option<FeedAssembly>,
    /// Highest revision reported by a peer, and when it was last updated.
    pub(super) peer_revision: Option<(ClockTime, RevisionNumber)>,
    /// Earliest time of the next comparison with a replica at the same
    /// revision.
    pub(super) next_repair_at: ClockTime,
    push_expected_until: ClockTime,
    started: ClockTime,
}

/// A read from the platform in progress.
#[derive(Clone, Debug)]
pub(super) struct PendingRead {
    pub(super) assembly: FeedAssembly,
    pub(super) started: ClockTime,
    pub(super) wait: TimeSpan,
}

impl FeedTracker {
    pub(super) fn new(
        kind: FeedKind,
        limits: FeedLimits,
        now: ClockTime,
        first_read: TimeSpan,
    ) -> Self {
        Self {
            kind,
            replica: FeedReplica::new(limits),
            confirmed_at: None,
            read_attempted: false,
            schedule: ReadSchedule::new(now + first_read),
            read: None,
            pull: None,
            peer_revision: None,
            next_repair_at: now,
            push_expected_until: now,
            started: now,
        }
    }

    pub(super) fn state(&self, now: ClockTime) -> FeedState {
        FeedState {
            version: self.replica.version(),
            confirmed_ago: self.confirmed_at.map(|at| now.since(at)),
            awaiting: self.is_awaiting(now),
        }
    }

    /// Whether a transfer of newer changes is in progress or expected.
    pub(super) fn is_awaiting(&self, now: ClockTime) -> bool {
        self.pull.is_some() || now < self.push_expected_until
    }

    /// Expects a push of changes from a caller that has a newer replica.
    pub(super) fn expect_push(&mut self, now: ClockTime) {
        self.push_expected_until = now + EXPECTED_PUSH_TIMEOUT;
    }

    /// Stops expecting a push of changes.
    pub(super) fn cancel_expected_push(&mut self, now: ClockTime) {
        self.push_expected_until = now;
    }

    /// Records a confirmation, received from the platform or from a peer.
    pub(super) fn confirm(&mut self, at: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time since the last confirmation, or since the start if there was none.
    pub(super) fn unconfirmed_for(&self, now: ClockTime) -> TimeSpan {
        now.since(self.confirmed_at.unwrap_or(self.started))
    }

    /// Whether a peer has reported a newer revision than this node's.
    pub(super) fn is_behind(&self) -> bool {
        self.peer_revision
            .is_some_and(|(_, revision)| revision > self.replica.revision())
    }

    /// Whether the replica has been filled, even if the feed itself is empty.
    pub(super) fn has_content(&self) -> bool {
        self.replica.revision() > RevisionNumber::ZERO || self.confirmed_at.is_some()
    }

    /// Starts a read if one is due. Returns the revision to read after, and how
    /// long the platform may hold the read.
    pub(super) fn start_read(
        &mut self,
        now: ClockTime,
        nodes: usize,
        rng: &mut Rng,
    ) -> Option<(RevisionNumber, TimeSpan)> {
        if self.read.is_some() {
            return None;
        }
        let unconfirmed_for = self.unconfirmed_for(now);
        let due = self.schedule.due(now, unconfirmed_for, nodes, rng)?;
        let wait = if self.confirmed_at.is_some() {
            due
        } else {
            TimeSpan::ZERO
        };
        let after = self.replica.revision();
        self.read = Some(PendingRead {
            assembly: FeedAssembly::new(after),
            started: now,
            wait,
        });
        Some((after, wait))
    }

    /// Starts a transfer of the changes after a revision from a peer.
    pub(super) fn start_pull(&mut self, after: RevisionNumber) {
        self.pull = Some(FeedAssembly::new(after));
    }

    /// Adds a part of the transfer. Returns the whole delta once it is complete,
    /// and otherwise the revision after which to request the next part.
    pub(super) fn add_part(&mut self, mut part: FeedDelta) -> Result<FeedDelta, RevisionNumber> {
        let Some(mut assembly) = self.pull.take() else {
            return Ok(part);
        };
        let cursor = part.cursor();
        assembly.push_items(std::mem::take(&mut part.items));
        if part.more {
            self.pull = Some(assembly);
            return Err(cursor);
        }
        part.after = assembly.after();
        part.items = assembly.into_items();
        Ok(part)
    }
}

impl PendingRead {
    /// Whether the read, which has failed, was a watch that the platform had
    /// accepted and that did not time out.
    pub(super) fn is_cut(&self, now: ClockTime) -> bool {
        let held = now.since(self.started);
        !self.wait.is_zero() && held >= MIN_CUT_WATCH_TIME && held < self.wait + READ_SLACK
    }

    /// The latest time at which the page is known to have been current. The time
    /// of arrival does not count: the answer may have waited in a socket while
    /// this process was paused. `empty` means that the page has no entries.
    pub(super) fn confirmed_at(&self, now: ClockTime, empty: bool) -> ClockTime {
        let wait = self.wait.min(WATCH_WAIT);
        if empty && now.since(self.started) >= wait {
            return self.started + wait;
        }
        self.started
    }
}
