use std::net::SocketAddr;

use super::IncarnationKey;

/// A process whose ledger holds tickets, and the address at which other nodes
/// reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketHolder {
    /// The incarnation of the node.
    pub incarnation: IncarnationKey,
    /// The internal address of the node.
    pub address: SocketAddr,
}
