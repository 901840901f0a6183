//! The gateway: routes requests and their stages between callers and targets.
//!
//! One thread does all work of a process. Decisions are made by
//! `verbenahub-core`; names and formats of the platform are those of
//! `verbenahub-platform`.

pub mod engines;
pub mod front;
pub mod http;
pub mod peers;
pub mod process;
pub mod staging;
pub mod store;
pub mod targets;
