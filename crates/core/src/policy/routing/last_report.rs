use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::{
    clock::{ClockTime, TimeSpan},
    protocol::LoadReport,
};

/// The last load report of a target.
///
/// The fields are stored one by one, so a reader may see parts of two reports.
/// This only makes an estimate less accurate.
#[derive(Debug, Default)]
pub struct LastReport {
    load: AtomicU32,
    other_calls: AtomicU32,
    capacity: AtomicU32,
    service_ms: AtomicU32,
    /// Time in milliseconds plus one; zero without a report.
    received_at: AtomicU64,
    /// Time in milliseconds plus one of the last report that the target is
    /// leaving; zero if it is not leaving.
    leaving_seen_at: AtomicU64,
}

/// Time after a report that a target is leaving during which reports that it is
/// not are considered outdated.
const LEAVING_HOLD_TIME: TimeSpan = TimeSpan::from_secs(10);

impl LastReport {
    /// Stores a report that was received while `own_calls` calls of this node were
    /// in flight to the target.
    pub fn store(&self, report: &LoadReport, own_calls: u32, now: ClockTime) {
        let load = report.running.saturating_add(report.queued);
        let service_ms = u32::try_from(report.service_time.as_millis()).unwrap_or(u32::MAX);
        self.load.store(load, Ordering::Relaxed);
        self.other_calls
            .store(load.saturating_sub(own_calls), Ordering::Relaxed);
        self.capacity.store(report.capacity, Ordering::Relaxed);
        self.service_ms.store(service_ms, Ordering::Relaxed);
        self.received_at
            .store(now.as_millis() + 1, Ordering::Relaxed);
        self.store_leaving(report.leaving, now);
    }

    fn store_leaving(&self, leaving: bool, now: ClockTime) {
        let seen_at = self.leaving_seen_at.load(Ordering::Relaxed);
        if leaving {
            self.leaving_seen_at
                .store(now.as_millis() + 1, Ordering::Relaxed);
        } else if now.since(ClockTime::from_millis(seen_at)) > LEAVING_HOLD_TIME {
            self.leaving_seen_at.store(0, Ordering::Relaxed);
        }
    }

    /// When the report was received; `None` without a report.
    #[must_use]
    pub fn received_at(&self) -> Option<ClockTime> {
        let stamp = self.received_at.load(Ordering::Relaxed);
        stamp.checked_sub(1).map(ClockTime::from_millis)
    }

    /// Number of calls running and queued at the target.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed)
    }

    /// Number of calls of other nodes running and queued at the target.
    #[must_use]
    pub fn other_calls(&self) -> u32 {
        self.other_calls.load(Ordering::Relaxed)
    }

    /// Maximum number of calls that the target runs concurrently; zero if unknown.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.capacity.load(Ordering::Relaxed)
    }

    /// Mean run time of calls that the target reported; zero if unknown.
    #[must_use]
    pub fn service_time(&self) -> TimeSpan {
        TimeSpan::from_millis(u64::from(self.service_ms.load(Ordering::Relaxed)))
    }

    /// Whether the target has reported that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_seen_at.load(Ordering::Relaxed) != 0
    }
}
