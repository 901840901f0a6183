use serde::{Deserialize, Serialize};

/// State that a target has registered for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts work.
    Ready,
    /// Completes the work that it has and then leaves.
    Draining,
}
