//! Lifecycle of one request: which outcome may be reported for it, and which
//! results of its stages are accepted.
//!
//! [`RequestState`] offers the outcome `not_run` only while no target can have
//! run any part of the request. [`StageTracker`] accepts each result once, from
//! a running attempt and at the next offset; it drops and counts all others.

mod answer_class;
mod answer_label;
mod attempt_end;
mod attempt_list;
mod attempt_plan;
mod final_outcome;
mod received_text;
mod request_phase;
mod request_state;
mod send_counts;
mod stage_attempt;
mod stage_event;
mod stage_failure;
mod stage_output;
mod stage_policy;
mod stage_step;
mod stage_tracker;
mod stale_counts;

pub use self::{
    answer_class::{AnswerClass, TargetRefusal},
    answer_label::AnswerLabel,
    attempt_plan::{AttemptPlan, SendToken, StartRefusal},
    final_outcome::FinalOutcome,
    request_phase::RequestPhase,
    request_state::{Accepted, AfterRefusal, EffectSent, RequestState, Sent},
    stage_event::{StageChunk, StageEvent},
    stage_failure::StageFailure,
    stage_output::StageOutput,
    stage_policy::{AnswerKind, StagePolicy},
    stage_step::{StageStep, StageVerdict},
    stage_tracker::StageTracker,
    stale_counts::{StaleCounts, StaleReason},
};
