//! HTTP connections: streams with byte limits, the HTTP server and the HTTP
//! client.

mod body_error;
mod body_reader;
mod call_error;
mod call_response;
mod client_pool;
mod http_server;
mod metered_stream;
mod server_limits;
mod server_phase;
mod tracked_body;

pub use self::{
    body_error::BodyError,
    body_reader::read_body,
    call_error::CallError,
    call_response::CallResponse,
    client_pool::{ClientConnection, ClientPool, ConnectionChoice},
    http_server::{HttpServer, ServerEvent},
    metered_stream::MeteredStream,
    server_limits::ServerLimits,
    server_phase::ServerPhase,
    tracked_body::BodyWatch,
};
