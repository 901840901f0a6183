use std::fmt;

use serde::{Deserialize, Serialize};

use super::{IncarnationKey, SequenceNumber};

/// Identifies one ticket among the tickets of all nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketKey {
    /// The incarnation of the node that issued the ticket.
    pub issuer: IncarnationKey,
    /// Sequence number of the ticket among the issuer's tickets.
    pub sequence: SequenceNumber,
}

impl fmt::Display for TicketKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.issuer, self.sequence)
    }
}
