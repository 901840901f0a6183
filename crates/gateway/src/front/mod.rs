//! Callers: their connections, and the way of one request.

mod active_request;
mod caller_connection;
mod caller_listener;
mod event_splitter;
mod forward_headers;
mod own_answer;
mod plain_flow;
mod relay_answer;
mod request_end;
mod request_intake;
mod stream_flow;
mod target_send;

pub use self::{
    active_request::ActiveRequest,
    caller_connection::CallerConnection,
    caller_listener::CallerListener,
    event_splitter::{EventSplitter, SplitError},
    own_answer::OwnAnswer,
    relay_answer::RelayAnswer,
    request_end::RequestEnd,
};
