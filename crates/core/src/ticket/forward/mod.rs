//! Forwarding of calls with tickets to the process that holds the ticket.
//!
//! A process that does not hold a ticket never runs it, so forwarding a call to
//! several processes, or twice to the same one, is harmless. A forwarding node
//! never reports `not_run`, because an earlier call with the same ticket may
//! have run.

mod forward_event;
mod forward_route;
mod forward_step;

pub use self::{
    forward_event::ForwardEvent,
    forward_route::ForwardRoute,
    forward_step::{ForwardFailure, ForwardStep},
};
