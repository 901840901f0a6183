//! Graceful shutdown of the daemon.

mod daemon_end;
mod drain_driver;

pub use self::{daemon_end::DaemonEnd, drain_driver::DrainDriver};
