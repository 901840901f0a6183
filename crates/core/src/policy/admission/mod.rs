//! Admission of requests and order of waiting calls, under one deadline over
//! all stages.
//!
//! The [`AdmissionController`] answers each arrival at once: a request that is
//! not thought to finish in time is refused with the time after which a return
//! makes sense. Calls of admitted requests take a slot of their pool; when
//! there is none, they wait, least slack first among the workspaces that are
//! within their fair share.

mod admission_action;
mod admission_controller;
mod admission_decision;
mod admission_id;
mod admission_mode;
mod admission_rule;
mod entry_state;
mod fair_queue;
mod pool_gate;
mod pool_index;
mod pool_load;
mod queued_call;
mod request_arrival;
mod request_refusal;
mod slot_limit;
mod slot_status;
mod stage_demand;
mod stage_times;
mod start_decision;

pub use self::{
    admission_action::AdmissionAction,
    admission_controller::AdmissionController,
    admission_decision::AdmissionDecision,
    admission_id::AdmissionId,
    admission_mode::{AdmissionMode, ModeError},
    admission_rule::AdmissionRule,
    fair_queue::FairQueue,
    pool_index::PoolIndex,
    pool_load::PoolLoad,
    queued_call::QueuedCall,
    request_arrival::RequestArrival,
    request_refusal::{RefusalReason, RequestRefusal},
    slot_limit::SlotLimit,
    slot_status::SlotStatus,
    stage_demand::StageDemand,
    stage_times::StageTimes,
    start_decision::StartDecision,
};
