//! The gateway: routes requests and their stages between callers and targets.
//!
//! The process is single-threaded. This crate does the I/O: the decisions are
//! made by `verbenahub-core`, and the names and formats that the platform
//! defines are in `verbenahub-platform`.

pub mod engines;
pub mod front;
pub mod http;
pub mod peers;
pub mod process;
pub mod quarantine;
pub mod staging;
pub mod store;
pub mod targets;
