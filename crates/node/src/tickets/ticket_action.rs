use async_channel::Receiver;
use verbenahub_core::ticket::{KeptAnswer, RunClaim, TicketHolder, TicketRefusal};

use super::TicketUpdate;

/// How to proceed with a call that presents a ticket.
#[derive(Debug)]
#[must_use]
pub enum TicketAction {
    /// Run the request.
    Run(RunClaim),
    /// Wait for an update: the ticket is running, or the ledger is being handed
    /// over.
    Wait(Receiver<TicketUpdate>),
    /// Return this answer of an earlier call.
    Repeat(KeptAnswer),
    /// Forward the call to the node that holds the ticket now.
    Moved(TicketHolder),
    /// Refuse the call.
    Refuse(TicketRefusal),
}
