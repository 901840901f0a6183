use std::ops::RangeInclusive;

use super::node_limits::read_text;
use crate::{
    clock::TimeSpan,
    drain::DrainLimits,
    findings::{FindingLog, TableReader},
};

const PHASE_RANGE: RangeInclusive<TimeSpan> = TimeSpan::ZERO..=TimeSpan::from_secs(600);

/// Table `[drain]`: timing of a graceful shutdown. The time for requests
/// in progress is `limits.shutdown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// How long the node still accepts connections after it reports not ready.
    pub unready: TimeSpan,
    /// How long idle connections stay open after the node has stopped accepting.
    pub closing: TimeSpan,
    /// Maximum time for handing over tickets after the requests have ended.
    pub handover: TimeSpan,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            unready: TimeSpan::from_secs(1),
            closing: TimeSpan::from_millis(500),
            handover: TimeSpan::from_secs(5),
        }
    }
}

impl DrainSettings {
    /// Reads the table; errors are reported to `log`.
    pub(super) fn read(mut reader: TableReader<'_>, log: &FindingLog<'_>) -> Self {
        let mut settings = Self::default();
        let mut read = |field, key| read_text(field, key, PHASE_RANGE, &mut reader, log);
        read(&mut settings.unready, "unready");
        read(&mut settings.closing, "closing");
        read(&mut settings.handover, "handover");
        reader.finish();
        settings
    }

    /// Limits of a graceful shutdown whose requests may take up to `work`.
    #[must_use]
    pub const fn limits(&self, work: TimeSpan) -> DrainLimits {
        DrainLimits {
            unready: self.unready,
            closing: self.closing,
            work,
            handover: self.handover,
        }
    }
}
