//! Decision logic of the serving system, without any I/O.
//!
//! Each decision is a state machine that takes events, the current time and a
//! random seed, and returns actions. The daemon connects these state machines
//! to sockets; property tests and benchmarks call them directly.

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
