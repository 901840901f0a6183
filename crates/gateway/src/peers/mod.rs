//! Calls between gateways: membership gossip, updates of configuration and
//! targets for nodes that do not read the store, pieces of stages for their
//! collector, the choice of engines, permits for limited targets, and the quarantine
//! of prompts.

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

/// Path for gossip rounds.
pub const GOSSIP_PATH: &str = "/gossip";
/// Path for sets of pieces that the receiver is to have produced.
pub const STAGE_PATH: &str = "/stage";
/// Path for freeing results that are no longer needed.
pub const FREE_PATH: &str = "/free";
/// Path for choosing the engine of a prompt.
pub const ENGINE_PATH: &str = "/engine";
/// Path for reporting the progress of engines with requests.
pub const ENGINE_PROGRESS_PATH: &str = "/engine-note";
/// Path for waiting until an engine has read a prompt.
pub const ENGINE_WAIT_PATH: &str = "/engine-wait";
/// Path for long polls for a newer configuration or newer targets.
pub const FOLLOW_PATH: &str = "/follow";
/// Path for asking which versions a node holds and whether it is connected to the
/// store.
pub const STATUS_PATH: &str = "/status";
/// Path for permits for calls to targets that have named a limit.
pub const PERMIT_PATH: &str = "/permit";
/// Path for reporting crashes of engines to the node that decides on quarantines.
pub const CRASH_PATH: &str = "/crash";
/// Path for asking which parts of prompts a node has seen answered.
pub const ANSWER_QUERY_PATH: &str = "/answered";
/// Path for telling a node which parts of prompts are quarantined.
pub const QUARANTINE_PATH: &str = "/quarantine";
/// Path for probing whether a node responds.
pub const PROBE_PATH: &str = "/probe";
