//! Membership of gateways, and which of them take part in shared work.

mod fleet_member;
mod fleet_table;
mod gossip_schedule;
mod reader_role;
mod source_list;
mod source_search;
mod startup_state;
mod weighted_order;

pub use self::{
    fleet_member::FleetMember,
    fleet_table::FleetTable,
    gossip_schedule::GossipSchedule,
    reader_role::{ReaderPlan, ReaderRole},
    source_list::SourceList,
    source_search::SourceSearch,
    startup_state::StartupState,
    weighted_order::weighted_order,
};
