//! Decisions of the serving system, kept apart from input and output.
//!
//! Every decision is a state machine that takes events, a clock reading and a
//! seed, and returns actions. The daemon drives these machines over sockets;
//! property tests and benchmarks drive them directly.

pub mod clock;
pub mod cluster;
pub mod config;
pub mod drain;
pub mod engines;
pub mod feed;
pub mod findings;
pub mod fleet;
#[macro_use]
pub mod ids;
pub mod policy;
pub mod protocol;
pub mod records;
pub mod request;
pub mod routes;
pub mod settings;
pub mod staging;
pub mod targets;
pub mod ticket;
pub mod units;
