use serde::{Deserialize, Serialize};

use super::IssuerRecord;
use crate::ticket::IncarnationKey;

/// Offer of a ledger to one possible successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverOffer {
    /// The stopping process. It hands over its ledger only once.
    pub from: IncarnationKey,
    /// The only process that may adopt the ledger.
    pub to: IncarnationKey,
    /// The tickets by issuer, including those that `from` has adopted.
    pub books: Vec<IssuerRecord>,
}
