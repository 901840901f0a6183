//! Talk between gateways: who is there, news that the store keeps from some,
//! and pieces that one node collects for all.

mod gossip_driver;
mod gossip_message;
mod peer_client;
mod peer_listener;

pub use self::{
    gossip_driver::GossipDriver,
    gossip_message::{
        FollowRequest, GossipMessage, GossipReply, PeerAck, ReplicaStatus, TargetUpdate,
        UpdateReply,
    },
    peer_client::{PeerClient, PeerError},
    peer_listener::PeerListener,
};

/// Path of gossip.
pub const GOSSIP_PATH: &str = "/gossip";
/// Path of sets of pieces.
pub const STAGE_PATH: &str = "/stage";
/// Path of the news that results are no longer needed.
pub const FREE_PATH: &str = "/free";
/// Path of the choice of an engine.
pub const ENGINE_PATH: &str = "/engine";
/// Path of the news how far engines have come with requests.
pub const ENGINE_PROGRESS_PATH: &str = "/engine-note";
/// Path of the wait for an engine that reads a prompt.
pub const ENGINE_WAIT_PATH: &str = "/engine-wait";
/// Path of the wait for news.
pub const FOLLOW_PATH: &str = "/follow";
/// Path of the question whether a node is there.
pub const PROBE_PATH: &str = "/probe";
