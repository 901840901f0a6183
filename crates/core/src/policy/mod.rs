//! Decisions under load and faults.
//!
//! Everything here is free of input and output: a caller hands in events, a
//! clock reading and a seed, and gets a decision back. State that is shared by
//! requests is held in atomics, so that a decision takes `&self`.

pub mod admission;
pub mod health;
pub mod limits;
pub mod placement;
pub mod retry;
pub mod routing;

mod decayed_mean;
pub(crate) mod numbers;
mod quantile_sketch;
mod workspace_hash;

pub use self::{
    decayed_mean::DecayedMean, quantile_sketch::QuantileSketch, workspace_hash::WorkspaceHash,
};
