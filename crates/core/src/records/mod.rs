//! Records that operators publish: pipelines, workspaces and models.
//!
//! A record is a TOML document with a kind, a schema version, a name and a
//! generation number. Each schema version of a pipeline is parsed into its own
//! type and upgraded step by step to the newest one, from which the
//! [`PipelineRecord`] is made that the rest of the system uses.

mod cost_weight;
mod limits;
mod model_record;
mod model_v1;
mod pipeline_check;
mod pipeline_record;
mod pipeline_v1;
mod pipeline_v2;
mod record;
mod record_id;
mod record_key;
mod record_kind;
mod record_objective;
mod schema_header;
mod secret_digest;
mod stage_kind;
mod stage_spec;
mod stage_v1;
mod stage_v2;
mod value_digest;
mod workspace_record;
mod workspace_v1;

pub use self::{
    cost_weight::{CostWeight, WeightError},
    limits::{
        MAX_DEADLINE, MAX_IN_FLIGHT, MAX_MESSAGE_SIZE, MAX_RECORD_SIZE, MAX_STAGES, MAX_TOKENS,
        MIN_STAGES,
    },
    model_record::ModelRecord,
    pipeline_record::PipelineRecord,
    record::Record,
    record_id::RecordId,
    record_key::{KeyError, RecordKey},
    record_kind::{KindError, RecordKind},
    record_objective::{ObjectiveError, RecordObjective},
    secret_digest::{DigestError, SecretDigest},
    stage_kind::StageKind,
    stage_spec::StageSpec,
    value_digest::ValueDigest,
    workspace_record::WorkspaceRecord,
};
