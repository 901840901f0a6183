//! Targets that register themselves: which of them may get work, including while
//! the registry is unavailable.

mod answer_history;
mod call_failure;
mod cold_change;
mod cold_notice;
mod cold_targets;
mod effective_limit;
mod evacuated_zones;
mod leaving_notice;
mod leaving_targets;
mod limit_notice;
mod load_report;
mod owner_tenure;
mod permit_decision;
mod permit_ledger;
mod permit_pace;
mod registry_change;
mod removed_run;
mod request_limit;
mod retry_after;
mod return_schedule;
mod send_pacer;
mod store_connectivity;
mod store_outage;
mod target_criteria;
mod target_limits;
mod target_loads;
mod target_record;
mod target_registry;
mod target_state;
mod zone_notice;

pub use self::{
    answer_history::AnswerHistory,
    call_failure::CallFailure,
    cold_change::ColdChange,
    cold_notice::ColdNotice,
    cold_targets::ColdTargets,
    effective_limit::EffectiveLimit,
    evacuated_zones::EvacuatedZones,
    leaving_notice::LeavingNotice,
    leaving_targets::LeavingTargets,
    limit_notice::LimitNotice,
    load_report::LoadReport,
    owner_tenure::OwnerTenure,
    permit_decision::PermitDecision,
    permit_ledger::PermitLedger,
    permit_pace::PermitPace,
    registry_change::RegistryChange,
    request_limit::{RequestLimit, RequestLimitError},
    retry_after::RetryAfter,
    return_schedule::ReturnSchedule,
    store_connectivity::StoreConnectivity,
    target_criteria::TargetCriteria,
    target_limits::TargetLimits,
    target_loads::TargetLoads,
    target_record::TargetRecord,
    target_registry::TargetRegistry,
    target_state::TargetState,
    zone_notice::ZoneNotice,
};

pub(crate) use self::target_loads::HEALTH_RULE;
