//! Admission control: which requests may run, and in which order their calls
//! get the slots of the pools, under one deadline over all stages.
//!
//! The [`AdmissionController`] decides on each request when it arrives. A
//! request that is predicted to miss its deadline is refused with the time
//! after which a retry makes sense. Each call of an admitted request takes a
//! slot of its pool. When no slot is free, calls wait and start in order of
//! least slack among the workspaces that are within their fair share.

mod admission_action;
mod admission_controller;
mod admission_decision;
mod admission_id;
mod admission_mode;
mod admission_rule;
mod admitted_request;
mod fair_queue;
mod pool_index;
mod pool_load;
mod pool_slots;
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
