//! Faults that a test puts into a running cluster and heals again.

mod active_fault;
mod fault_kind;

pub use self::{active_fault::ActiveFault, fault_kind::FaultKind};
