use serde::{Deserialize, Serialize};

use super::PromptStep;
use crate::{clock::TimeSpan, ids::TargetId};

/// Reports how far an engine has come with a request.
///
/// Names the engine because a request that one engine rejects is soon sent to
/// another: a report that arrives late concerns the earlier engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptProgress {
    /// Identifier of the request.
    pub request: String,
    /// The engine.
    pub engine: TargetId,
    /// Start time of the engine process that the request was sent to, if it is
    /// known.
    pub started_at: Option<u64>,
    /// Latest step of the request at this engine.
    pub step: PromptStep,
    /// Time from sending the request to the first event, with
    /// [`PromptStep::Read`]. Excludes what the request waited for before it was
    /// sent. `None` if it is not known, as in reports of earlier versions.
    #[serde(default)]
    pub first_event_after: Option<TimeSpan>,
    /// How long work takes on the engine's VM, in percent of the usual time, with
    /// [`PromptStep::Read`]. `None` if the engine doesn't state it.
    #[serde(default)]
    pub work_percent: Option<u32>,
}
