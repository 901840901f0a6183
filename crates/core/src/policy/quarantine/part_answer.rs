use serde::{Deserialize, Serialize};

use super::PartKey;
use crate::clock::TimeSpan;

/// Tells when an engine last answered a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    pub part: PartKey,
    /// Time since the answer.
    pub age: TimeSpan,
}
