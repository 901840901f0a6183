//! One request from a caller's side: first call, ticket, answer, repeats.

mod answer_sink;
mod call_flow;
mod call_plan;
mod call_report;
mod step_end;
mod stream_check;

pub use self::{
    answer_sink::AnswerSink,
    call_flow::run_call,
    call_plan::CallPlan,
    call_report::{CallReport, CallTrouble},
};
