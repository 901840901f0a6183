//! Command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;
use verbenahub_core::settings::SettingOverride;

/// Serves multi-stage model pipelines as one node of a cluster.
///
/// Exit codes: 0 after a graceful stop, 1 when the settings or the start
/// failed, 3 when the time limit of the graceful stop was reached.
#[derive(Debug, FromArgs)]
pub struct DaemonArgs {
    /// file with the settings, in TOML
    #[argh(option)]
    pub config: PathBuf,
    /// setting that overrides the file, as KEY=VALUE; may be repeated
    #[argh(option)]
    pub set: Vec<SettingOverride>,
}
