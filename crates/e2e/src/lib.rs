//! Tools for failure tests over real processes: process guards, a relay that
//! can cut and go silent, a small HTTP client and a builder of whole clusters.

pub mod caller;
pub mod cluster;
pub mod fault;
pub mod network;
pub mod process;

mod poll;
mod test_slot;

pub use self::{
    poll::{PATIENCE, poll_until},
    test_slot::TestSlot,
};
