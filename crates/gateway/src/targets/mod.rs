//! Connections to targets, and calls over them.

mod call_purpose;
mod connection_pool;
mod memory_reservation;
mod permit_client;
mod permit_denied;
mod permit_query;
mod permit_reply;
mod permit_request;
mod response_memory;
mod send_error;
mod send_permit;
mod target_connection;
mod target_exchange;
mod wait_limit;

pub use self::{
    call_purpose::CallPurpose,
    connection_pool::ConnectionPool,
    memory_reservation::MemoryReservation,
    permit_client::PermitClient,
    permit_denied::PermitDenied,
    permit_query::PermitQuery,
    permit_reply::PermitReply,
    permit_request::PermitRequest,
    response_memory::ResponseMemory,
    send_error::SendError,
    send_permit::SendPermit,
    target_connection::TargetConnection,
    target_exchange::{TargetCall, TargetExchange},
    wait_limit::within,
};
