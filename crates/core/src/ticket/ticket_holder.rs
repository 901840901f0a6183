use std::net::SocketAddr;

use super::IncarnationKey;

/// A process that issues tickets, has adopted those of another process or may
/// adopt them, and the address at which other nodes reach it. Its ledger may be
/// empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketHolder {
    /// The incarnation of the node.
    pub incarnation: IncarnationKey,
    /// The internal address of the node.
    pub address: SocketAddr,
}
