use serde::{Deserialize, Serialize};

use super::PartKey;
use crate::clock::TimeSpan;

/// Tells that a part of prompts crashes engines, as nodes pass it on to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The part.
    pub part: PartKey,
    /// Time since the decision.
    pub age: TimeSpan,
    /// Length of the quarantine.
    pub period: TimeSpan,
}
