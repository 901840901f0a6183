use async_channel::Sender;
use verbenahub_core::cluster::{ClusterEvent, GossipCall, GossipReply};

/// What reaches the driver's loop from outside.
#[derive(Debug)]
pub(super) enum DriverEvent {
    /// An event that goes to the machine as it is.
    Machine(ClusterEvent),
    /// A call of another node, and where its reply goes. Dropping the sender
    /// refuses the call.
    Call(Box<GossipCall>, Sender<GossipReply>),
}
