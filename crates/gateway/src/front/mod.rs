//! Connections of callers, and the handling of their requests.

mod active_request;
mod answer_phase;
mod caller_connection;
mod caller_listener;
mod event_splitter;
mod forward_headers;
mod gateway_response;
mod plain_flow;
mod request_end;
mod request_progress;
mod request_resolver;
mod resume_point;
mod stream_flow;
mod target_response;
mod target_sender;

pub use self::{
    active_request::ActiveRequest,
    caller_connection::CallerConnection,
    caller_listener::CallerListener,
    event_splitter::{EventSplitter, EventStreamError},
    gateway_response::GatewayResponse,
    request_end::RequestEnd,
    request_progress::RequestProgress,
    target_response::TargetResponse,
};
