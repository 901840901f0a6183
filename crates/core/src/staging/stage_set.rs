use crate::clock::ClockTime;

/// Identifies a set of pieces at its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetNumber(pub u64);

/// All pieces that one request needs of one stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageSet {
    /// Number of pieces.
    pub pieces: u32,
    /// When the results must be there for the request to meet its goal.
    pub goal_at: ClockTime,
    /// When the results must be there for the request to be served at all.
    pub dead_at: ClockTime,
    /// Whether the set may be refused for lack of time. Sets of requests that
    /// other targets have worked for are not.
    pub refusable: bool,
}
