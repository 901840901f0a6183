//! Rate limits of workspaces at this node: the core's buckets and leases, and
//! the calls that carry leases between nodes.

mod lease_client;
mod lease_endpoint;
mod limit_desk;

pub use self::{
    lease_client::run_leases,
    lease_endpoint::{LEASE_PATH, LeaseEndpoint},
    limit_desk::LimitDesk,
};
