//! The daemon: drives the decisions of `verbenahub-core` over sockets.

pub mod cli;
pub mod cluster;
pub mod connection;
pub mod consts;
pub mod daemon;
pub mod drain;
pub mod process;
pub mod request;
pub mod status;
pub mod tickets;
pub mod version;
