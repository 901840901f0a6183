//! Handling of a request, from its arrival to the end of the response.

mod admission_guard;
mod answer_channel;
mod answer_head;
mod answer_sink;
mod attempt_history;
mod attempt_list;
mod caller_request;
mod credentials;
mod effect_permit_source;
mod incoming_request;
mod outcome_query;
mod pipeline_run;
mod progress;
mod refusal;
mod request_handler;
mod request_id_generator;
mod stage_attempt;
mod stage_call;
mod stage_permit;
mod stage_run;
mod stream_budget;
mod target_chooser;

pub(crate) use self::request_handler::{BYTES_TYPE, STREAM_TYPE, count_request};
pub use self::{
    admission_guard::AdmissionGuard,
    answer_channel::{AnswerReader, AnswerSender, answer_channel, encode_line},
    answer_head::AnswerHead,
    answer_sink::AnswerSink,
    caller_request::CallerRequest,
    credentials::CallerCredentials,
    effect_permit_source::EffectPermitSource,
    incoming_request::{IncomingRequest, read_request_body},
    pipeline_run::{PipelineEnd, PipelineRun},
    refusal::RequestRefusal,
    request_handler::RequestHandler,
    request_id_generator::RequestIdGenerator,
};
