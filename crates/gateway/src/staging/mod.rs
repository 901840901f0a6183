//! Stages: collecting pieces of many requests into calls, and running the
//! stages of one request.

mod result_desk;
mod result_guard;
mod stage_call_run;
mod stage_client;
mod stage_desk;
mod stage_flow;
mod stage_message;

pub use self::{
    result_desk::ResultDesk,
    result_guard::ResultGuard,
    stage_client::StageClient,
    stage_desk::StageDesk,
    stage_flow::{StageFailure, StageFlow, StageOutput},
    stage_message::{FreeNote, StageAnswer, StageAsk},
};
