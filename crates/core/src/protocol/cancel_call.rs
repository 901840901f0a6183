use serde::{Deserialize, Serialize};

use crate::ids::{AttemptNumber, RequestId, StageName};

/// Body of a call that asks a target to cancel one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelCall {
    /// Id of the request.
    pub request: RequestId,
    /// Stage of the request.
    pub stage: StageName,
    /// Attempt at the stage.
    pub attempt: AttemptNumber,
}
