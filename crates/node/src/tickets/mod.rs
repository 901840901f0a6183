//! Tickets: at-most-once execution of requests with a non-idempotent stage.
//!
//! The node that issued a ticket runs its request; other nodes forward calls to
//! it. At a graceful shutdown the node hands its tickets over to one other
//! node.

mod answer_encoding;
mod ledger_handover;
mod successor_rank;
mod ticket_action;
mod ticket_call;
mod ticket_endpoint;
mod ticket_forwarder;
mod ticket_handler;
mod ticket_registry;
mod ticket_run;
mod ticket_update;

pub use self::{
    ledger_handover::LedgerHandover,
    ticket_action::TicketAction,
    ticket_call::TicketCall,
    ticket_endpoint::{HANDOVER_PATH, TICKET_PATH, TicketEndpoint},
    ticket_forwarder::TicketForwarder,
    ticket_handler::TicketHandler,
    ticket_registry::{OpenCall, TicketRegistry},
    ticket_update::{TicketUpdate, TicketWaiter},
};
