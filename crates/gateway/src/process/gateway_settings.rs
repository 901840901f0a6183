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

/// Port on which metrics are served unless the settings say otherwise. The
/// usual port of exporters of this format.
const METRICS_PORT: u16 = 9_464;

/// The gateway's own settings: defaults, overridden by a file.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewaySettings {
    /// Lowest level of the lines that are logged.
    #[serde_as(as = "DisplayFromStr")]
    pub log_level: LogLevel,
    /// Port of the metrics, on the address on which callers connect.
    pub metrics_port: u16,
}

/// Settings that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// The file is not valid; the message names line and column.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: Box<toml::de::Error>,
    },
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            log_level: LogLevel::Info,
            metrics_port: METRICS_PORT,
        }
    }
}

impl GatewaySettings {
    /// Reads settings from a file. What the file doesn't name keeps its
    /// default.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, or holds something unknown.
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

    /// Checks the text of a file named `source` and tells what is wrong with it
    /// and where.
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

    /// The level as the logger wants it.
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
