use std::path::PathBuf;

use argh::FromArgs;

/// Routes requests and their stages on the platform. The settings of the VM
/// are read from the file that the environment names.
#[derive(Clone, Debug, FromArgs)]
pub struct DaemonArgs {
    /// file with the gateway's own settings, in TOML
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// read and check all settings, then exit
    #[argh(switch)]
    pub check: bool,
}
