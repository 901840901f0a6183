//! Connections to targets, and calls over them.

mod call_purpose;
mod connection_pool;
mod memory_reservation;
mod response_memory;
mod send_error;
mod target_exchange;
mod wait_limit;

pub use self::{
    call_purpose::CallPurpose,
    connection_pool::ConnectionPool,
    memory_reservation::MemoryReservation,
    response_memory::ResponseMemory,
    send_error::SendError,
    target_exchange::{TargetCall, TargetExchange},
    wait_limit::within,
};
