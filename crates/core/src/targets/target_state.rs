use serde::{Deserialize, Serialize};

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}
