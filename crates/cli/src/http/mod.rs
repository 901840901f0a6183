//! Calls to nodes over HTTP, with connections that are kept and used again.

mod client_error;
mod idle_pool;
mod line_reader;
mod node_answer;
mod node_client;
mod outgoing_call;

pub use self::{
    client_error::ClientError,
    line_reader::LineReader,
    node_answer::NodeAnswer,
    node_client::NodeClient,
    outgoing_call::{CallHeader, OutgoingCall},
};
