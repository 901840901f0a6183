use crate::clock::TimeSpan;

/// Time after its start for which a node leaves reading the store to the seeds.
/// Until it knows the other nodes, every node would consider itself a reader.
const STARTUP_PERIOD: TimeSpan = TimeSpan::from_millis(5_000);
/// Time after its start for which a node waits for seeds that start slightly
/// later, before it reads the store itself.
const SEED_GRACE_PERIOD: TimeSpan = TimeSpan::from_millis(1_500);

/// State that decides how a node behaves in the first seconds after its start.
///
/// Designed for this load: all nodes start at the same moment, or one after the
/// other, without knowing each other. If each of them read the store until it
/// knew the fleet, the start of 300 nodes would cost more calls than a day of
/// operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupState {
    /// Whether this node is one of the seeds.
    pub is_seed: bool,
    /// Whether seeds are configured.
    pub has_seeds: bool,
    /// Time since the node started.
    pub uptime: TimeSpan,
}

impl StartupState {
    /// Whether the node has started too recently to rely on knowing the fleet.
    #[must_use]
    pub fn is_starting(&self) -> bool {
        self.uptime < STARTUP_PERIOD
    }

    /// Whether the node still has to give seeds time to start.
    #[must_use]
    pub fn awaits_seeds(&self) -> bool {
        self.has_seeds && self.uptime < SEED_GRACE_PERIOD
    }
}
