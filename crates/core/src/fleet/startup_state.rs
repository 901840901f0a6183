use crate::clock::TimeSpan;

/// Time after its start for which a node leaves reading to the seeds: until it
/// knows the others, each one would rank itself as a reader.
const START_SPAN: TimeSpan = TimeSpan::from_millis(5_000);
/// Time after its start for which a node waits for the seeds, which may start a
/// moment later, before it reads the store all the same.
const SEED_GRACE: TimeSpan = TimeSpan::from_millis(1_500);

/// What a node is in the first seconds of its run.
///
/// Answers to this load pattern: all nodes start at the same moment, or one
/// after the other, and know nobody. If each of them read the store until it
/// knew the fleet, a start of 300 nodes would cost more calls than a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartupState {
    /// Whether others ask this node first.
    pub is_seed: bool,
    /// Whether the node knows of seeds.
    pub has_seeds: bool,
    /// Time since its start.
    pub uptime: TimeSpan,
}

impl StartupState {
    /// Whether the node may not know the fleet yet.
    #[must_use]
    pub fn is_starting(&self) -> bool {
        self.uptime < START_SPAN
    }

    /// Whether seeds may still be about to start.
    #[must_use]
    pub fn awaits_seeds(&self) -> bool {
        self.has_seeds && self.uptime < SEED_GRACE
    }
}
