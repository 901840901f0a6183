//! Small stand-ins for the outside systems, for tests and the demo.
//!
//! Each stand-in is one process that speaks the protocols of
//! `docs/PROTOCOLS.md` under `/v1/`. All other paths belong to the test that
//! drives it: faults, statistics, ledgers and the publisher's side of feeds.

pub mod engine;
pub mod feed;
pub mod load;
pub mod pool;
pub mod server;
pub mod service;
pub mod weights;

mod standin_command;

pub use self::standin_command::{StandinCommand, StandinKind};
