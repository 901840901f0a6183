use http_types::Response;
use serde::{Deserialize, Serialize};
use verbenahub_core::{
    ids::{AttemptNumber, RequestId, StageName},
    protocol::{
        CancelCall,
        headers::{ATTEMPT, REQUEST_ID, STAGE},
    },
};

use super::IncomingCall;

/// Says which attempt at which stage of which request a call is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunLabel {
    /// The request.
    pub request: RequestId,
    /// The stage of the request.
    pub stage: StageName,
    /// The attempt at the stage.
    pub attempt: AttemptNumber,
}

impl RunLabel {
    /// Reads the label from the headers of a call.
    #[must_use]
    pub fn of_call(call: &IncomingCall) -> Option<Self> {
        Some(Self {
            request: call.parsed(REQUEST_ID)?,
            stage: call.parsed(STAGE)?,
            attempt: call.parsed(ATTEMPT)?,
        })
    }

    /// Repeats the label in the headers of an answer.
    pub fn echo(&self, response: &mut Response) {
        response.insert_header(REQUEST_ID, self.request.as_str());
        response.insert_header(STAGE, self.stage.as_str());
        response.insert_header(ATTEMPT, self.attempt.to_string());
    }
}

impl From<CancelCall> for RunLabel {
    fn from(call: CancelCall) -> Self {
        Self {
            request: call.request,
            stage: call.stage,
            attempt: call.attempt,
        }
    }
}
