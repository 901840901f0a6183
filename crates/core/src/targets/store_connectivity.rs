use crate::clock::{ClockTime, TimeSpan};

/// Time after an outage within which records that expired during the outage may
/// be written again. Live targets register again within about two seconds.
const REREGISTRATION_PERIOD: TimeSpan = TimeSpan::from_millis(2_300);
/// Age of the last confirmation from which the data no longer counts as current.
/// Covers a long-polling read and its timeout.
const MAX_CURRENT_AGE: TimeSpan = TimeSpan::from_millis(3_500);

/// Whether the platform's store responds, and hence how current and complete the
/// data read from it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreConnectivity {
    /// When the data was last confirmed as current.
    confirmed_at: Option<ClockTime>,
    /// When records may last have been missing in the store: the time of the last
    /// failed call, of the end of an outage or of a restore.
    disrupted_at: Option<ClockTime>,
    /// Time of the first failed call since the last successful one.
    failing_since: Option<ClockTime>,
}

impl StoreConnectivity {
    /// Records a response. Returns the length of the outage that it ends, if
    /// calls failed before.
    pub fn record_answer(&mut self, now: ClockTime) -> Option<TimeSpan> {
        self.confirmed_at = Some(now);
        let since = self.failing_since.take()?;
        self.disrupted_at = Some(now);
        Some(now.since(since))
    }

    /// Records a failed call. Returns whether it is the first of an outage.
    pub fn record_failure(&mut self, now: ClockTime) -> bool {
        self.disrupted_at = Some(now);
        let is_new = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        is_new
    }

    /// Records that the store was restored from a backup: records that are missing
    /// there may be written again.
    pub const fn record_restore(&mut self, now: ClockTime) {
        self.disrupted_at = Some(now);
    }

    /// Records that the data equals that of another node, for which it was current
    /// `age` ago.
    pub fn record_confirmation(&mut self, age: TimeSpan, now: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
    }

    /// Records that this node stops reading the store and gets the data from other
    /// nodes.
    pub fn record_read_stop(&mut self) {
        self.failing_since = None;
    }

    /// Time since the data was last confirmed as current. `None` without a
    /// confirmation or while calls fail.
    #[must_use]
    pub fn data_age(&self, now: ClockTime) -> Option<TimeSpan> {
        let confirmed = self.confirmed_at.filter(|_| self.failing_since.is_none());
        confirmed.map(|at| now.since(at))
    }

    /// Records that the process was suspended: the data no longer counts as
    /// current.
    pub fn record_pause(&mut self) {
        self.confirmed_at = None;
    }

    /// Whether the data was confirmed as current recently.
    #[must_use]
    pub fn is_current(&self, now: ClockTime) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < MAX_CURRENT_AGE)
    }

    /// Whether the store has responded for long enough that a missing record will
    /// not be written again.
    #[must_use]
    pub fn is_settled(&self, now: ClockTime) -> bool {
        let is_undisrupted = self
            .disrupted_at
            .is_none_or(|at| now.since(at) >= REREGISTRATION_PERIOD);
        self.failing_since.is_none() && is_undisrupted
    }
}
