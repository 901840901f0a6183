//! Drives the cluster machine: timers, calls between nodes, reads of the
//! platform, and the view that the other parts of the node see.

mod call_body_error;
mod cluster_driver;
mod cluster_link;
mod cluster_options;
mod driver_event;
mod feed_update;
mod gossip_client;
mod gossip_endpoint;
mod platform_client;

pub use self::{
    call_body_error::CallBodyError,
    cluster_driver::ClusterDriver,
    cluster_link::{ClusterLink, LinkError},
    cluster_options::ClusterOptions,
    feed_update::FeedUpdate,
    gossip_endpoint::{GOSSIP_PATH, GossipEndpoint},
};
