use async_channel::Receiver;
use verbenahub_core::ticket::{KeptAnswer, RunClaim, TicketHolder, TicketRefusal};

use super::TicketUpdate;

/// What a call with a ticket is to do.
#[derive(Debug)]
#[must_use]
pub enum TicketAction {
    /// Run the request.
    Run(RunClaim),
    /// Wait for news.
    Wait(Receiver<TicketUpdate>),
    /// Give this answer.
    Repeat(KeptAnswer),
    /// Pass the call on to the node that holds the ticket now.
    Moved(TicketHolder),
    /// Refuse the call.
    Refuse(TicketRefusal),
}
