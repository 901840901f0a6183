use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::TimeSpan;

/// Load of a target, which may be out of date.
///
/// The header value has the form `running=3;queued=2;capacity=4;service-ms=20;leaving=0`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Maximum number of concurrently running calls.
    pub capacity: u32,
    /// Mean run time of recent calls, in milliseconds.
    pub service_time: TimeSpan,
    /// Whether the target is leaving and wants no new calls.
    pub leaving: bool,
}

/// Error for a text that is not a load report.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a load report")]
pub struct ReportError(pub String);

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "running={};queued={};capacity={};service-ms={};leaving={}",
            self.running,
            self.queued,
            self.capacity,
            self.service_time.as_millis(),
            u8::from(self.leaving)
        )
    }
}

impl FromStr for LoadReport {
    type Err = ReportError;

    fn from_str(text: &str) -> Result<Self, ReportError> {
        let error = || ReportError(text.to_owned());
        let mut report = Self::default();
        for field in text.split(';') {
            let (name, value) = field.split_once('=').ok_or_else(error)?;
            let number: u32 = value.trim().parse().map_err(|_| error())?;
            match name.trim() {
                "running" => report.running = number,
                "queued" => report.queued = number,
                "capacity" => report.capacity = number,
                "service-ms" => report.service_time = TimeSpan::from_millis(u64::from(number)),
                "leaving" => report.leaving = number != 0,
                _ => {}
            }
        }
        Ok(report)
    }
}
