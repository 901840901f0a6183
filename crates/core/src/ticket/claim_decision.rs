use super::{KeptAnswer, TicketHolder, TicketKey, TicketRefusal};

/// What to do with a call that presents a ticket.
#[derive(Debug)]
#[must_use]
pub enum ClaimDecision {
    /// Run the request, then return the claim to the ledger with the answer.
    Run(RunClaim),
    /// The ticket is running, or the ledger is being handed over. Register
    /// with [`super::TicketLedger::join`] and wait.
    Join(JoinToken),
    /// The ticket has been answered: return the same answer.
    Repeat(KeptAnswer),
    /// Forward the call to the process that adopted the ticket.
    Moved(TicketHolder),
    /// Do not run the request.
    Refuse(TicketRefusal),
}

/// Permission to run one ticket. At most one is ever issued for a ticket.
#[derive(Debug)]
#[must_use]
pub struct RunClaim {
    pub(super) key: TicketKey,
}

impl RunClaim {
    /// The ticket that is running.
    #[must_use]
    pub const fn key(&self) -> &TicketKey {
        &self.key
    }
}

/// Permission to wait for the answer of one ticket.
#[derive(Debug)]
#[must_use]
pub struct JoinToken {
    pub(super) key: TicketKey,
}

/// Permission to record the answer of a ticket after its run was given up.
#[derive(Debug)]
pub struct LateAnswerToken {
    pub(super) key: TicketKey,
}

/// Result of ending a run.
#[derive(Debug)]
#[must_use]
pub struct FinishedRun<W> {
    /// The calls that wait for the answer.
    pub waiters: Vec<W>,
    /// Whether the answer is kept for repeated calls. An answer larger than
    /// the limit is not kept.
    pub kept: bool,
}
