use thiserror::Error;

use crate::clock::TimeSpan;

/// Why no ticket was issued. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IssueRefusal {
    /// The ledger holds the maximum number of tickets.
    #[error("the ledger of tickets is full")]
    Full {
        /// Time until the next ticket expires.
        retry_after: TimeSpan,
    },
    /// The ledger is sealed, because the node is stopping.
    #[error("the node is stopping")]
    Sealed,
    /// The idempotency key was already used for another pipeline.
    #[error("the idempotency key was used for another pipeline")]
    KeyReused,
}
