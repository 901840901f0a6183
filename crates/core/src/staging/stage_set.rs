use crate::{
    clock::ClockTime,
    ids::{PoolName, ZoneName},
};

/// Identifies a set of pieces in its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetNumber(pub u64);

/// All pieces that one request needs of one stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSet {
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of the result of a piece, in bytes.
    pub piece_bytes: u64,
    /// Zone in which the results will be read, if they are large enough for
    /// locality to matter.
    pub preferred_zone: Option<ZoneName>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Services of the stages that follow this one.
    pub downstream: Vec<PoolName>,
    /// When the results are needed for the request to meet its latency goal.
    pub goal_at: ClockTime,
    /// When the results are needed for the request to be served at all.
    pub deadline: ClockTime,
    /// Whether the set may be refused for lack of time. False once targets have
    /// already worked for the request.
    pub refusable: bool,
    /// Whether another collector may take the set over before it has started.
    pub movable: bool,
    /// Route of the request.
    pub route: String,
    /// Workspace of the caller; empty if unknown.
    pub workspace: String,
}
