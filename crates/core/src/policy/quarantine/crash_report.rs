use serde::{Deserialize, Serialize};

use super::PartKey;
use crate::{clock::TimeSpan, ids::TargetId};

/// Reports that the connection to an engine broke off before the answer to a
/// request had settled, as it does if the engine crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The engine.
    pub engine: TargetId,
    /// Unix time of the start of the engine's run in milliseconds, if it is known.
    pub started_at: Option<u64>,
    /// Parts of the request's prompt, without the last one, which belongs to this
    /// request alone.
    pub parts: Vec<PartKey>,
    /// Time since the connection broke off.
    pub age: TimeSpan,
}
