//! Which other gateways take part in shared work.

mod fleet_member;
mod fleet_table;

pub use self::{fleet_member::FleetMember, fleet_table::FleetTable};
