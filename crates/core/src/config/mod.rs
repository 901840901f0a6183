//! The configuration in force: which generation of each record counts.
//!
//! The choice is a pure function of the entries held, so that two nodes with
//! the same entries have the same records in force, whatever the order in
//! which the entries came and whichever older revisions a node has seen.

mod config_snapshot;
mod config_state;
mod held_entry;
mod held_record;
mod sharded_map;
mod shared_record;
mod versioned_record;

pub use self::{
    config_snapshot::ConfigSnapshot,
    config_state::{ApplyOutcome, ConfigState},
    versioned_record::VersionedRecord,
};
use self::{sharded_map::ShardedMap, shared_record::SharedRecord};
