//! Rate limits of workspaces over all nodes, without a store.
//!
//! Each node always keeps a small share of a limit ([`ShareBucket`]). The rest
//! is leased for a short time by a home node ([`LeaseGrantor`]), which rendezvous
//! hashing picks from the live nodes ([`OwnerView`]). A node asks only for
//! workspaces whose demand exceeds its share ([`LimitTable`]).

mod lease_account;
mod lease_grantor;
mod lease_request;
mod lease_rule;
mod limit_table;
mod owner_view;
mod share_bucket;
mod share_size;
mod workspace_limit;

pub use self::{
    lease_grantor::LeaseGrantor,
    lease_request::{LeaseBatch, LeaseGrant, LeaseReply, LeaseRequest},
    lease_rule::LeaseRule,
    limit_table::{AddressedBatch, LimitTable},
    owner_view::OwnerView,
    share_bucket::{LimitDecision, ShareBucket, ShareWish},
    share_size::ShareSize,
    workspace_limit::WorkspaceLimit,
};
