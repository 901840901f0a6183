use crate::{clock::ClockTime, ids::TargetId};

/// A request that was assigned to an engine.
#[derive(Clone, Debug)]
pub(super) struct AssignedRequest {
    pub(super) engine: TargetId,
    /// Start time of the engine process, if it is known.
    pub(super) started_at: Option<u64>,
    /// When the request was assigned.
    pub(super) assigned_at: ClockTime,
    /// Tokens that the engine has yet to prefill.
    pub(super) tokens: u64,
    /// Whether the engine has not completed the prefill yet.
    pub(super) is_prefill_pending: bool,
    /// The request for which the engine prefills parts that this one shares.
    pub(super) awaited_request: Option<String>,
    /// When the request is dropped unless progress is reported.
    pub(super) expires_at: ClockTime,
}
