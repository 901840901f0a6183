//! Identifiers: names chosen by operators and numbers assigned by the system.

#[macro_use]
mod macros;

mod attempt_number;
mod era_number;
mod generation_number;
mod incarnation_number;
mod model_name;
mod name_error;
mod node_id;
mod pipeline_name;
mod pool_name;
mod region_name;
mod request_id;
mod revision_number;
mod stage_name;
mod store_revision;
mod target_id;
mod workspace_id;
mod workspace_name;
mod write_number;
mod zone_name;

pub use self::{
    attempt_number::AttemptNumber, era_number::EraNumber, generation_number::GenerationNumber,
    incarnation_number::IncarnationNumber, model_name::ModelName, name_error::NameError,
    node_id::NodeId, pipeline_name::PipelineName, pool_name::PoolName, region_name::RegionName,
    request_id::RequestId, revision_number::RevisionNumber, stage_name::StageName,
    store_revision::StoreRevision, target_id::TargetId, workspace_id::WorkspaceId,
    workspace_name::WorkspaceName, write_number::WriteNumber, zone_name::ZoneName,
};
