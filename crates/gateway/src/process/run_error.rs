use std::{io, path::PathBuf};

use thiserror::Error;
use verbenahub_platform::WireError;

use super::SettingsError;

/// Why the gateway could not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// The environment doesn't name the platform's settings file.
    #[error("environment variable {0} is not set")]
    NoNodeFile(&'static str),
    /// A file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The platform's settings file is not as it should be.
    #[error("{path}: {source}")]
    NodeFile {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its place.
        source: WireError,
    },
    /// The gateway's own settings are not as they should be.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Metrics could not be set up.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A socket or signal handler could not be set up.
    #[error("{what}: {source}")]
    Setup {
        /// What was set up.
        what: String,
        /// What went wrong.
        source: io::Error,
    },
}

impl RunError {
    pub(crate) fn setup<What>(what: What) -> impl FnOnce(io::Error) -> Self
    where
        What: Into<String>,
    {
        let what = what.into();
        move |source| Self::Setup { what, source }
    }
}
