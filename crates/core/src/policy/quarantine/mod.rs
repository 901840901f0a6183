//! Prompts that crash engines: finds the part of a prompt that is the cause from
//! crashes and answers, and keeps requests with it from all engines.

mod answered_parts;
mod crash_evidence;
mod crash_report;
mod engine_run;
mod part_answer;
mod part_key;
mod quarantine_notice;
mod quarantined_parts;

pub use self::{
    answered_parts::AnsweredParts,
    crash_evidence::CrashEvidence,
    crash_report::CrashReport,
    engine_run::EngineRun,
    part_answer::PartAnswer,
    part_key::{PartKey, PartKeyError},
    quarantine_notice::QuarantineNotice,
    quarantined_parts::QuarantinedParts,
};
