use serde::{Deserialize, Serialize};
use verbenahub_core::ids::{AttemptNumber, RequestId};

/// One call that a plain service took in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Idempotency key of the call, if it carried one.
    pub key: Option<String>,
    /// The request.
    pub request: RequestId,
    /// The attempt at the stage.
    pub attempt: AttemptNumber,
    /// xxh3-64 of the body.
    pub digest: u64,
    /// How far the call has come.
    pub state: EntryState,
}

/// How far a call to a plain service has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The call waits for a slot and has had no effect yet.
    Queued,
    /// The call is in execution.
    Running,
    /// The call has had its effect and its answer was made.
    Done,
    /// The call has had its effect and was made to answer with a failure.
    Failed,
    /// The call was made to fail before it had an effect.
    Void,
}

impl EntryState {
    /// Whether the call has or may have had its effect.
    #[must_use]
    pub const fn took_effect(self) -> bool {
        matches!(self, Self::Running | Self::Done | Self::Failed)
    }

    /// Whether the state is the last one of the call.
    #[must_use]
    pub const fn is_settled(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Void)
    }
}
