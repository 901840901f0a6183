use async_channel::Sender;
use verbenahub_core::ticket::KeptAnswer;

/// Channel on which a waiting call receives the update of its ticket.
pub type TicketWaiter = Sender<TicketUpdate>;

/// What a call that waits for a ticket is told.
#[derive(Clone, Debug)]
pub enum TicketUpdate {
    /// The run has ended with this answer.
    Answer(KeptAnswer),
    /// The handover of the ledger has ended: claim the ticket again.
    ClaimAgain,
}
