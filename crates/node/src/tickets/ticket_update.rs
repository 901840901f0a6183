use async_channel::Sender;
use verbenahub_core::ticket::KeptAnswer;

/// Tells a call that waits for a ticket what came of it.
pub type TicketWaiter = Sender<TicketUpdate>;

/// What came of a ticket.
#[derive(Clone, Debug)]
pub enum TicketUpdate {
    /// The answer.
    Answer(KeptAnswer),
    /// The ledger was handed over: ask again.
    ClaimAgain,
}
