use super::CallPiece;
use crate::{clock::ClockTime, ids::TargetId};

/// A call that has started and not yet ended.
#[derive(Clone, Debug)]
pub(super) struct RunningCall {
    pub(super) target: TargetId,
    pub(super) pieces: Vec<CallPiece>,
    pub(super) started_at: ClockTime,
    pub(super) expected_ms: f64,
}
