//! Distributed rate limits of workspaces, without shared storage.
//!
//! Each node may always use a small static share of a limit ([`LimitBucket`]).
//! The rest is leased for a short time by the owner of the limit
//! ([`LeaseGrantor`]), a node that rendezvous hashing selects from the live
//! nodes ([`OwnerView`]). A node requests leases only for workspaces whose
//! demand exceeds its static share ([`LimitTable`]).

mod bucket_size;
mod lease_account;
mod lease_grantor;
mod lease_request;
mod lease_rule;
mod limit_bucket;
mod limit_table;
mod owner_view;
mod workspace_limit;

pub use self::{
    bucket_size::BucketSize,
    lease_grantor::LeaseGrantor,
    lease_request::{LeaseBatch, LeaseGrant, LeaseReply, LeaseRequest},
    lease_rule::LeaseRule,
    limit_bucket::{LeaseDemand, LimitBucket, LimitDecision},
    limit_table::{AddressedBatch, LimitTable},
    owner_view::OwnerView,
    workspace_limit::WorkspaceLimit,
};
