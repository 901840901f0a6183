//! What all stand-ins share: the HTTP server, fault switches and statistics.

mod call_handler;
mod connection_stream;
mod fault_spec;
mod fault_switches;
mod http_server;
mod incoming_call;
mod line_body;
pub mod reply;
mod run_label;
mod run_stats;
mod server_options;
mod standin_clock;
mod stop_signal;

pub use self::{
    call_handler::CallHandler,
    connection_stream::ConnectionStream,
    fault_spec::FaultSpec,
    fault_switches::FaultSwitches,
    http_server::{HttpServer, ServerContext},
    incoming_call::IncomingCall,
    line_body::LineBody,
    run_label::RunLabel,
    run_stats::{RunStats, StatsReport},
    server_options::ServerOptions,
    standin_clock::StandinClock,
};
