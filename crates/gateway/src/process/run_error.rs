use std::{io, path::PathBuf};

use thiserror::Error;
use verbenahub_platform::WireError;

use super::SettingsError;

/// Why the gateway could not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// The environment variable that names the platform's settings file is not
    /// set.
    #[error("environment variable {0} is not set")]
    NoNodeFile(&'static str),
    /// A file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The platform's settings file is invalid.
    #[error("{path}: {source}")]
    NodeFile {
        /// The file.
        path: PathBuf,
        /// The decoding error, with its location.
        source: WireError,
    },
    /// The gateway's own settings could not be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The metrics could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A socket or signal handler could not be set up.
    #[error("{what}: {source}")]
    Setup {
        /// What was being set up.
        what: String,
        /// The I/O error.
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
