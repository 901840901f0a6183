use super::{RecordObjective, StageSpec};
use crate::{
    clock::TimeSpan,
    ids::{GenerationNumber, PipelineName},
    units::ByteSize,
};

/// A pipeline: the stages that process a request, its deadline and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineRecord {
    /// Name of the pipeline.
    pub name: PipelineName,
    /// Generation number of the record.
    pub generation: GenerationNumber,
    /// Whether the pipeline is out of service and accepts no new requests.
    pub retired: bool,
    /// Maximum time from the arrival of a request to its complete answer.
    pub deadline: TimeSpan,
    /// What the pipeline is optimised for.
    pub objective: RecordObjective,
    /// The stages, in the order in which they run.
    pub stages: Vec<StageSpec>,
    /// Maximum size of a request body.
    pub body_limit: ByteSize,
    /// Maximum size of an answer.
    pub answer_limit: ByteSize,
    /// Maximum number of requests in flight per node.
    pub in_flight_limit: u32,
}

impl PipelineRecord {
    /// Whether the answer is streamed, because the last stage generates tokens.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.stages
            .last()
            .is_some_and(|stage| stage.kind.is_generate())
    }

    /// Whether all stages may run more than once for one request.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.idempotent)
    }
}
