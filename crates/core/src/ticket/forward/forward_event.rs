use std::net::SocketAddr;

/// Result of forwarding a call to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEvent {
    /// The connection failed; no byte was written.
    NotConnected,
    /// At least a part of the call was written, and no answer was received.
    AnswerLost,
    /// The node replied that it does not hold the ticket.
    NotOwner,
    /// The node replied that it handed the ticket over to the node at this internal
    /// address.
    Moved(SocketAddr),
    /// The node answered the call.
    Answered,
}
