//! Targets that register themselves: which of them may get work, also while
//! the registry is away.

mod choice_ask;
mod departed_run;
mod leaving_notice;
mod leaving_targets;
mod load_report;
mod registry_change;
mod store_contact;
mod target_loads;
mod target_record;
mod target_registry;
mod target_state;
mod turn_away;

pub use self::{
    choice_ask::ChoiceAsk, leaving_notice::LeavingNotice, leaving_targets::LeavingTargets,
    load_report::LoadReport, registry_change::RegistryChange, store_contact::StoreContact,
    target_loads::TargetLoads, target_record::TargetRecord, target_registry::TargetRegistry,
    target_state::TargetState, turn_away::TurnAway,
};

pub(crate) use self::target_loads::HEALTH_RULE;
