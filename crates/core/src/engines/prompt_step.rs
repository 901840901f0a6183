use serde::{Deserialize, Serialize};

/// How far an engine has come with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptStep {
    /// Prefill is complete: the first event of the response has arrived.
    Read,
    /// The request has ended, or the engine has rejected it.
    Ended,
    /// The engine failed.
    Failed,
    /// Nothing listens at the engine's address, or another engine does.
    Gone,
}
