use super::{RecordObjective, pipeline_v2::PipelineV2, stage_v1::StageV1};
use crate::{
    clock::TimeSpan,
    findings::{KeyPlace, Placed, TableReader},
    ids::{GenerationNumber, PipelineName},
    units::{ByteSize, TokenCount},
};

/// Schema 1 of a pipeline: numbers whose unit is part of the field name, one
/// token limit for all stages, and no objective.
pub(super) struct PipelineV1 {
    name: Option<Placed<PipelineName>>,
    generation: Option<Placed<GenerationNumber>>,
    retired: Option<Placed<bool>>,
    deadline_ms: Option<Placed<u64>>,
    max_tokens: Option<Placed<TokenCount>>,
    body_limit_bytes: Option<Placed<u64>>,
    answer_limit_bytes: Option<Placed<u64>>,
    in_flight_limit: Option<Placed<u32>>,
    stages: Vec<StageV1>,
    stages_place: KeyPlace,
}

impl PipelineV1 {
    /// Reads the fields; errors are reported to the log of `reader`.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let stages: Vec<StageV1> = reader
            .tables("stages")
            .into_iter()
            .map(StageV1::read)
            .collect();
        let max_tokens = if stages.iter().any(StageV1::is_generate) {
            reader.required("max_tokens")
        } else {
            reader.optional("max_tokens")
        };
        let pipeline = Self {
            name: reader.required("name"),
            generation: reader.required("generation"),
            retired: reader.optional("retired"),
            deadline_ms: reader.required("deadline_ms"),
            max_tokens,
            body_limit_bytes: reader.optional("body_limit_bytes"),
            answer_limit_bytes: reader.optional("answer_limit_bytes"),
            in_flight_limit: reader.optional("in_flight_limit"),
            stages_place: reader.place_of("stages"),
            stages,
        };
        reader.finish();
        pipeline
    }

    /// Upgrades to schema 2. The token limit is copied to each stage that
    /// generates tokens, and the objective is attainment.
    pub(super) fn upgrade(self) -> PipelineV2 {
        let max_tokens = self.max_tokens;
        let objective = Placed {
            value: RecordObjective::Attainment,
            place: KeyPlace::default(),
        };
        let upgrade_size = |size: Placed<u64>| size.map(ByteSize::from_bytes);
        PipelineV2 {
            name: self.name,
            generation: self.generation,
            retired: self.retired,
            deadline: self
                .deadline_ms
                .map(|deadline| deadline.map(TimeSpan::from_millis)),
            objective: Some(objective),
            body_limit: self.body_limit_bytes.map(upgrade_size),
            answer_limit: self.answer_limit_bytes.map(upgrade_size),
            in_flight_limit: self.in_flight_limit,
            stages: self
                .stages
                .into_iter()
                .map(|stage| stage.upgrade(max_tokens.as_ref()))
                .collect(),
            stages_place: self.stages_place,
        }
    }
}
