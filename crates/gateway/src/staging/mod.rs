//! Stages: collecting pieces of many requests into calls, and running the
//! stages of one request.

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
