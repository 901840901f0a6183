use serde::{Deserialize, Serialize};

use super::{EngineRun, PartKey};
use crate::clock::TimeSpan;

/// Reports that the connection to an engine broke off before the answer to a
/// request had settled, as it does if the engine crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Run of the engine.
    pub run: EngineRun,
    /// Parts of the request's prompt, without the last one, which belongs to this
    /// request alone.
    pub parts: Vec<PartKey>,
    /// Time since the connection broke off.
    pub age: TimeSpan,
}
