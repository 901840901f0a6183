//! Decisions under load and failures: admission, routing, retries, rate limits,
//! health, placement and the quarantine of prompts that crash engines.
//!
//! Nothing here performs I/O. A caller passes events, the current time and a
//! random seed, and gets a decision. State shared by requests is kept in
//! atomics, so that a decision needs only `&self`.

pub mod admission;
pub mod health;
pub mod limits;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod routing;

mod decayed_mean;
pub(crate) mod numbers;
mod quantile_sketch;
mod workspace_hash;

pub use self::{
    decayed_mean::DecayedMean, quantile_sketch::QuantileSketch, workspace_hash::WorkspaceHash,
};
