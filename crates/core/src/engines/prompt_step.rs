use serde::{Deserialize, Serialize};

/// How far an engine has come with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptStep {
    /// It has read the prompt: the first event is there.
    Read,
    /// The request is over, or the engine has turned it away.
    Ended,
    /// The engine failed.
    Failed,
    /// Nothing listens at the engine's address, or another one does.
    Gone,
}
