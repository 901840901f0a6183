//! Health of targets: ejection of failing or slow targets, slow start after an
//! ejection, and detection of stalled calls.

mod health_rule;
mod progress_rule;
mod progress_watch;
mod target_health;

pub use self::{
    health_rule::HealthRule,
    progress_rule::ProgressRule,
    progress_watch::{ProgressAction, ProgressWatch},
    target_health::{CallOutcome, TargetHealth},
};
