//! Findings: errors in records and settings. All errors of a text are collected
//! with their locations and reported together.

mod finding;
mod finding_list;
mod finding_log;
mod finding_place;
mod key_place;
mod placed;
mod table_reader;

pub use self::{
    finding::{Finding, FindingKind},
    finding_list::FindingList,
    finding_place::FindingPlace,
};
pub(crate) use self::{
    finding_log::FindingLog, key_place::KeyPlace, placed::Placed, table_reader::TableReader,
};
