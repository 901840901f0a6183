use super::{IncarnationKey, TicketHolder};

/// Whether a ledger issues tickets and starts runs.
#[derive(Debug)]
pub(super) enum LedgerPhase<W> {
    /// The ledger issues tickets and starts runs.
    Open,
    /// The ledger is being handed over; it issues and starts nothing.
    Sealed {
        /// Calls with unused tickets, waiting for the handover to end.
        waiters: Vec<W>,
    },
    /// The handover has ended, with or without a successor.
    Released {
        /// The process that adopted the tickets, or none if no process did.
        successor: Option<TicketHolder>,
    },
}

/// Proof that a ledger is sealed. A ledger hands out only one.
#[derive(Debug)]
#[must_use]
pub struct LedgerSeal {
    /// The process whose ledger is sealed.
    pub(super) holder: IncarnationKey,
}
