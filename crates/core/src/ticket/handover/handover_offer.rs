use serde::{Deserialize, Serialize};

use super::BookRecord;
use crate::ticket::IncarnationKey;

/// Offer of a ledger to one successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverOffer {
    /// The process that stops. It hands over once in its life.
    pub from: IncarnationKey,
    /// The one process that may take the offer.
    pub to: IncarnationKey,
    /// The tickets, those that `from` has adopted included.
    pub books: Vec<BookRecord>,
}
