//! Execution of stages: runs the stages of each request, and batches the pieces
//! of many requests into calls to targets.

mod result_guard;
mod result_releaser;
mod stage_call_run;
mod stage_client;
mod stage_collector;
mod stage_flow;
mod stage_message;

pub use self::{
    result_guard::ResultGuard,
    result_releaser::ResultReleaser,
    stage_client::StageClient,
    stage_collector::StageCollector,
    stage_flow::{StageFailure, StageFlow, StageOutput},
    stage_message::{FreeRequest, StageAnswer, StageRequest},
};
