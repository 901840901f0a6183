use std::{collections::BTreeSet, fmt::Display, ops::RangeInclusive};

use super::{
    CostWeight, MAX_DEADLINE, MAX_IN_FLIGHT, MAX_MESSAGE_SIZE, MAX_STAGES, MAX_TOKENS, MIN_STAGES,
    PipelineRecord, StageKind, StageSpec,
    limits::{DEFAULT_ANSWER_LIMIT, DEFAULT_BODY_LIMIT, DEFAULT_IN_FLIGHT_LIMIT, MAX_NAME_BYTES},
    pipeline_v2::PipelineV2,
    stage_v2::{SERVICE_KIND, StageV2},
};
use crate::{
    clock::TimeSpan,
    findings::{FindingLog, KeyPlace, Placed},
    ids::StageName,
    units::{ByteSize, TokenCount},
};

/// Validates a pipeline of the newest schema and converts it to a record.
///
/// All errors are reported to `log`. Returns `None` if a required field is
/// missing or the kind of a stage is unknown.
pub(super) fn check_pipeline(pipeline: PipelineV2, log: &FindingLog<'_>) -> Option<PipelineRecord> {
    check_limits(&pipeline, log);
    check_stage_count(pipeline.stages.len(), &pipeline.stages_place, log);
    check_unique_names(&pipeline.stages, log);
    let deadline = pipeline.deadline.map(|deadline| deadline.value);
    let stages: Vec<Option<StageSpec>> = pipeline
        .stages
        .into_iter()
        .map(|stage| convert_stage(stage, deadline, log))
        .collect();
    Some(PipelineRecord {
        name: pipeline.name?.value,
        generation: pipeline.generation?.value,
        retired: value_or(pipeline.retired, false),
        deadline: deadline?,
        objective: pipeline.objective?.value,
        stages: stages.into_iter().collect::<Option<_>>()?,
        body_limit: value_or(pipeline.body_limit, DEFAULT_BODY_LIMIT),
        answer_limit: value_or(pipeline.answer_limit, DEFAULT_ANSWER_LIMIT),
        in_flight_limit: value_or(pipeline.in_flight_limit, DEFAULT_IN_FLIGHT_LIMIT),
    })
}

/// The value of an optional field, or `default` if it is absent.
pub(super) fn value_or<T>(field: Option<Placed<T>>, default: T) -> T {
    field.map_or(default, |field| field.value)
}

/// Reports an error if the field is present and its value is outside `range`.
pub(super) fn check_range<T>(
    field: Option<&Placed<T>>,
    range: &RangeInclusive<T>,
    log: &FindingLog<'_>,
) where
    T: PartialOrd + Display,
{
    if let Some(field) = field {
        field.check_range(range, log);
    }
}

/// Reports an error if `text` cannot be a segment of a URL path.
pub(super) fn check_path_segment(text: &str, place: &KeyPlace, log: &FindingLog<'_>) {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    if !valid_length || !text.bytes().all(allowed) {
        let message =
            format!("must have 1 to {MAX_NAME_BYTES} ASCII letters, digits, `-`, `_` and `.`");
        log.report(place, message);
    }
}

fn check_limits(pipeline: &PipelineV2, log: &FindingLog<'_>) {
    let times = TimeSpan::from_millis(1)..=MAX_DEADLINE;
    let sizes = ByteSize::from_bytes(1)..=MAX_MESSAGE_SIZE;
    check_range(pipeline.deadline.as_ref(), &times, log);
    check_range(pipeline.body_limit.as_ref(), &sizes, log);
    check_range(pipeline.answer_limit.as_ref(), &sizes, log);
    check_range(pipeline.in_flight_limit.as_ref(), &(1..=MAX_IN_FLIGHT), log);
}

fn check_stage_count(count: usize, place: &KeyPlace, log: &FindingLog<'_>) {
    if !(MIN_STAGES..=MAX_STAGES).contains(&count) {
        let message =
            format!("a pipeline has {MIN_STAGES} to {MAX_STAGES} stages, this one has {count}");
        log.report(place, message);
    }
}

fn check_unique_names(stages: &[StageV2], log: &FindingLog<'_>) {
    let mut seen: BTreeSet<&StageName> = BTreeSet::new();
    for name in stages.iter().filter_map(|stage| stage.name.as_ref()) {
        if !seen.insert(&name.value) {
            let message = format!("another stage has the name `{}` already", name.value);
            log.report(&name.place, message);
        }
    }
}

fn convert_stage(
    stage: StageV2,
    deadline: Option<TimeSpan>,
    log: &FindingLog<'_>,
) -> Option<StageSpec> {
    check_timeout(&stage, deadline, log);
    check_idempotent(&stage, log);
    let idempotent = stage.idempotent.as_ref().is_none_or(|field| field.value);
    let kind = convert_kind(&stage, log);
    Some(StageSpec {
        name: stage.name?.value,
        kind: kind?,
        pool: stage.pool?.value,
        idempotent,
        timeout: stage.timeout.map(|timeout| timeout.value),
        cost_weight: value_or(stage.cost_weight, CostWeight::default()),
    })
}

fn check_timeout(stage: &StageV2, deadline: Option<TimeSpan>, log: &FindingLog<'_>) {
    let limit = deadline
        .filter(|deadline| !deadline.is_zero())
        .unwrap_or(MAX_DEADLINE)
        .min(MAX_DEADLINE);
    let times = TimeSpan::from_millis(1)..=limit;
    check_range(stage.timeout.as_ref(), &times, log);
}

fn check_idempotent(stage: &StageV2, log: &FindingLog<'_>) {
    let Some((kind, idempotent)) = stage.kind.as_ref().zip(stage.idempotent.as_ref()) else {
        return;
    };
    if !idempotent.value && kind.value != SERVICE_KIND {
        let message = format!(
            "a stage that does `{}` is always idempotent; only a service can be otherwise",
            kind.value
        );
        log.report(&idempotent.place, message);
    }
}

fn convert_kind(stage: &StageV2, log: &FindingLog<'_>) -> Option<StageKind> {
    let kind = stage.kind.as_ref()?;
    if kind.value != "generate" {
        reject_field(stage.model.as_ref(), "generate", log);
        reject_field(stage.adapter.as_ref(), "generate", log);
        reject_field(stage.max_tokens.as_ref(), "generate", log);
    }
    if kind.value != SERVICE_KIND {
        reject_field(stage.outcome_query.as_ref(), SERVICE_KIND, log);
    }
    match kind.value.as_str() {
        "encode" => Some(StageKind::Encode),
        "retrieve" => Some(StageKind::Retrieve),
        "rerank" => Some(StageKind::Rerank),
        "generate" => convert_generate(stage, log),
        SERVICE_KIND => Some(StageKind::Service {
            outcome_query: stage
                .outcome_query
                .as_ref()
                .is_some_and(|field| field.value),
        }),
        other => {
            let message = format!(
                "`{other}` is not a kind of stage; \
                 write `encode`, `retrieve`, `rerank`, `generate` or `service`"
            );
            log.report(&kind.place, message);
            None
        }
    }
}

fn convert_generate(stage: &StageV2, log: &FindingLog<'_>) -> Option<StageKind> {
    let tokens = TokenCount::new(1)..=TokenCount::new(MAX_TOKENS);
    check_range(stage.max_tokens.as_ref(), &tokens, log);
    if let Some(adapter) = &stage.adapter {
        check_path_segment(&adapter.value, &adapter.place, log);
    }
    Some(StageKind::Generate {
        model: stage.model.as_ref()?.value.clone(),
        adapter: stage.adapter.as_ref().map(|adapter| adapter.value.clone()),
        max_tokens: stage.max_tokens.as_ref()?.value,
    })
}

fn reject_field<T>(field: Option<&Placed<T>>, kind: &str, log: &FindingLog<'_>) {
    if let Some(field) = field {
        let message = format!("only a stage of kind `{kind}` has this field");
        log.report(&field.place, message);
    }
}
