use crate::{
    clock::ClockTime,
    ids::{PoolName, ZoneName},
};

/// Identifies a set of pieces at its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetNumber(pub u64);

/// All pieces that one request needs of one stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageSet {
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of the result of one piece, in bytes.
    pub piece_bytes: u64,
    /// Zone in which the results will be read, if their size makes that
    /// matter.
    pub preferred_zone: Option<ZoneName>,
    /// Rank of the request against others, 0 is the highest.
    pub priority: u8,
    /// Services of the stages that come after this one.
    pub downstream: Vec<PoolName>,
    /// When the results must be there for the request to meet its goal.
    pub goal_at: ClockTime,
    /// When the results must be there for the request to be served at all.
    pub deadline: ClockTime,
    /// Whether the set may be refused for lack of time. Sets of requests that
    /// other targets have worked for are not.
    pub refusable: bool,
    /// Whether another collector may take the set over before it is begun.
    pub movable: bool,
}
