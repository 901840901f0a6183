use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use slog::Level;
use thiserror::Error;
use verbenahub_core::{
    findings::{Finding, FindingPlace},
    settings::LogLevel,
};

/// Default port of the metrics. It is the usual port of exporters of the
/// Prometheus text format.
const DEFAULT_METRICS_PORT: u16 = 9_464;

/// The gateway's own settings: defaults that a TOML file can override.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewaySettings {
    /// Minimum level of log lines that are written.
    #[serde_as(as = "DisplayFromStr")]
    pub log_level: LogLevel,
    /// Port of the metrics listener. Its IP address is that of the caller
    /// listener.
    pub metrics_port: u16,
}

/// Why settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is invalid. The message names line and column.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The decoding error.
        source: Box<toml::de::Error>,
    },
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            log_level: LogLevel::Info,
            metrics_port: DEFAULT_METRICS_PORT,
        }
    }
}

impl GatewaySettings {
    /// Reads settings from a TOML file. Settings that are missing from the file
    /// keep their defaults.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, is invalid TOML, or contains an unknown
    /// setting or an invalid value.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        toml::from_str(&text).map_err(|source| SettingsError::Invalid {
            path: path.to_owned(),
            source: Box::new(source),
        })
    }

    /// Checks the text of a settings file named `source`. Returns the first error
    /// with its location, if there is one.
    #[must_use]
    pub fn check(source: &str, text: &str) -> Option<Finding> {
        let error = toml::from_str::<Self>(text).err()?;
        let before = error.span().and_then(|span| text.get(..span.start));
        let line = before.and_then(|before| u32::try_from(before.matches('\n').count() + 1).ok());
        let place = FindingPlace {
            line,
            ..FindingPlace::whole(source)
        };
        Some(Finding::invalid(place, error.message().to_owned()))
    }

    /// The log level as a [`Level`] of the `slog` crate.
    #[must_use]
    pub fn level(&self) -> Level {
        match self.log_level {
            LogLevel::Error => Level::Error,
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
            LogLevel::Trace => Level::Trace,
        }
    }
}
