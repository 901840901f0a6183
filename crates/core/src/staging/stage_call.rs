use super::SetNumber;
use crate::{clock::TimeSpan, ids::TargetId, units::ByteSize};

/// Identifies a call at its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// One piece of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPiece {
    /// The set that the piece belongs to.
    pub set: SetNumber,
    /// Number of the piece in its set, from 0.
    pub piece: u32,
    /// Room that its result takes.
    pub bytes: u64,
    /// Time left until the piece is of no use.
    pub time_left: TimeSpan,
}

/// A call to make now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageCall {
    /// Names the call when it ends.
    pub number: CallNumber,
    /// The target to call.
    pub target: TargetId,
    /// The pieces, in the order in which the target answers for them.
    pub pieces: Vec<CallPiece>,
    /// When to give the call up.
    pub timeout: TimeSpan,
    /// Room for results that is left at the target beside the call's own.
    pub room_left: ByteSize,
    /// Pieces that wait on.
    pub waiting: usize,
}
