use std::path::PathBuf;

use argh::FromArgs;

/// Routes requests and their stages between callers and targets. An environment
/// variable names the file with the settings of the VM.
#[derive(Clone, Debug, FromArgs)]
pub struct DaemonArgs {
    /// file with the gateway's own settings, in TOML
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// read and check all settings, then exit
    #[argh(switch)]
    pub check: bool,
}
