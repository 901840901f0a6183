//! Targets that register themselves: which of them may get work, including while
//! the registry is unavailable.

mod leaving_notice;
mod leaving_targets;
mod load_report;
mod registry_change;
mod removed_run;
mod request_limit;
mod retry_after;
mod store_connectivity;
mod target_criteria;
mod target_limits;
mod target_loads;
mod target_record;
mod target_registry;
mod target_state;

pub use self::{
    leaving_notice::LeavingNotice,
    leaving_targets::LeavingTargets,
    load_report::LoadReport,
    registry_change::RegistryChange,
    request_limit::{RequestLimit, RequestLimitError},
    retry_after::RetryAfter,
    store_connectivity::StoreConnectivity,
    target_criteria::TargetCriteria,
    target_limits::TargetLimits,
    target_loads::TargetLoads,
    target_record::TargetRecord,
    target_registry::TargetRegistry,
    target_state::TargetState,
};

pub(crate) use self::target_loads::HEALTH_RULE;
