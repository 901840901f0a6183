use super::SetNumber;
use crate::{clock::TimeSpan, ids::TargetId, units::ByteSize};

/// Identifies a call in its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// One piece of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPiece {
    /// The set that the piece belongs to.
    pub set: SetNumber,
    /// Number of the piece in its set, from 0.
    pub piece: u32,
    /// Room that its result occupies, in bytes.
    pub bytes: u64,
    /// Time left until its deadline, after which the result is of no use.
    pub time_left: TimeSpan,
}

/// A call to make now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageCall {
    /// Identifies the call when its end is reported.
    pub number: CallNumber,
    /// The target to call.
    pub target: TargetId,
    /// Its pieces. The target answers for them in this order.
    pub pieces: Vec<CallPiece>,
    /// Time after which to abandon the call.
    pub timeout: TimeSpan,
    /// Room for results left at the target after reserving the call's own.
    pub room_left: ByteSize,
    /// Number of pieces that keep waiting in the queue.
    pub waiting: usize,
}
