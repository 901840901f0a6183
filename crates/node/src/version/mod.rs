//! The current version of the published data: the records in force and the
//! targets, each replaced as a whole when the platform publishes a change.

mod config_versions;
mod target_versions;

pub use self::{config_versions::ConfigVersions, target_versions::TargetVersions};
