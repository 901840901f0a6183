use super::{CallerVerdict, SamplePipeline};

/// A request that a caller sent, with all that it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentRequest {
    /// The pipeline.
    pub pipeline: SamplePipeline,
    /// The body, which no other request has.
    pub body: Vec<u8>,
    /// What the caller was told, in order. Tries of one ticket count as one request.
    pub verdicts: Vec<CallerVerdict>,
}

impl SentRequest {
    /// Whether an answer came back whole.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.verdicts
            .iter()
            .any(|verdict| verdict.whole().is_some())
    }

    /// Whether the caller was told each time that the request was not run.
    #[must_use]
    pub fn never_ran(&self) -> bool {
        self.verdicts
            .iter()
            .all(|verdict| verdict.not_run().is_some())
    }
}
