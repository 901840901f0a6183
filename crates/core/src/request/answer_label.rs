use crate::ids::{AttemptNumber, RequestId, StageName};

/// Identifies the attempt to which a result claims to belong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerLabel {
    /// Id of the request.
    pub request: RequestId,
    /// Stage of the request.
    pub stage: StageName,
    /// Number of the attempt at the stage.
    pub attempt: AttemptNumber,
}
