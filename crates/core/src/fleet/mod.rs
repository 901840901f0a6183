//! Which other gateways take part in shared work.

mod fleet_member;
mod fleet_table;
mod gossip_pace;
mod node_start;
mod reader_rank;
mod weighted_order;

pub use self::{
    fleet_member::FleetMember,
    fleet_table::FleetTable,
    gossip_pace::GossipPace,
    node_start::NodeStart,
    reader_rank::{ReaderPlan, ReaderRank},
    weighted_order::weighted_order,
};
