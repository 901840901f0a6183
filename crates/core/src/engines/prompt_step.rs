use serde::{Deserialize, Serialize};

/// How an engine's work on a prompt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptEnd {
    /// The engine has read it: the first event is there.
    Read,
    /// The engine failed or can't be reached.
    Failed,
    /// The request was given up or turned away.
    Dropped,
}
