use super::{RecordObjective, stage_v2::StageV2};
use crate::{
    clock::TimeSpan,
    findings::{KeyPlace, Placed, TableReader},
    ids::{GenerationNumber, PipelineName},
    units::ByteSize,
};

/// Schema 2 of a pipeline: strings with units, an objective and a table of
/// limits.
pub(super) struct PipelineV2 {
    pub(super) name: Option<Placed<PipelineName>>,
    pub(super) generation: Option<Placed<GenerationNumber>>,
    pub(super) retired: Option<Placed<bool>>,
    pub(super) deadline: Option<Placed<TimeSpan>>,
    pub(super) objective: Option<Placed<RecordObjective>>,
    pub(super) body_limit: Option<Placed<ByteSize>>,
    pub(super) answer_limit: Option<Placed<ByteSize>>,
    pub(super) in_flight_limit: Option<Placed<u32>>,
    pub(super) stages: Vec<StageV2>,
    pub(super) stages_place: KeyPlace,
}

impl PipelineV2 {
    /// Reads the fields; errors are reported to the log of `reader`.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let mut pipeline = Self {
            name: reader.required("name"),
            generation: reader.required("generation"),
            retired: reader.optional("retired"),
            deadline: reader.required_text("deadline"),
            objective: reader.required_text("objective"),
            body_limit: None,
            answer_limit: None,
            in_flight_limit: None,
            stages_place: reader.place_of("stage"),
            stages: reader
                .tables("stage")
                .into_iter()
                .map(StageV2::read)
                .collect(),
        };
        if let Some(limits) = reader.table("limits") {
            pipeline.read_limits(limits);
        }
        reader.finish();
        pipeline
    }

    fn read_limits(&mut self, mut reader: TableReader<'_>) {
        self.body_limit = reader.optional_text("body");
        self.answer_limit = reader.optional_text("answer");
        self.in_flight_limit = reader.optional("in_flight");
        reader.finish();
    }
}
