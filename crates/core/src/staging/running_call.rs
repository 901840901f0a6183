use super::CallPiece;
use crate::{clock::ClockTime, ids::TargetId};

/// One call under way.
#[derive(Clone, Debug)]
pub(super) struct RunningCall {
    pub(super) target: TargetId,
    pub(super) pieces: Vec<CallPiece>,
    pub(super) started: ClockTime,
    pub(super) expected_ms: f64,
}
