use super::{CallFailure, store_outage::StoreOutage};
use crate::clock::{ClockTime, TimeSpan};

/// Age of the last confirmation from which the data no longer counts as current.
/// Covers a long-polling read and its timeout.
const MAX_CURRENT_AGE: TimeSpan = TimeSpan::from_millis(3_500);

/// Whether the platform's store responds, and hence how current and complete the
/// data read from it is.
///
/// Designed for this load pattern: the store is unavailable for seconds, or
/// readers lose single calls while it works, and targets leave at any time. A
/// removed record is put off only if its target may still be live, that is if
/// the store was silent for so long that renewals of records were missed.
#[derive(Clone, Copy, Debug)]
pub struct StoreConnectivity {
    /// Interval at which targets renew their records.
    renewal_interval: TimeSpan,
    /// Whether this node reads the store until further notice.
    is_reading: bool,
    /// When the data was last confirmed as current.
    confirmed_at: Option<ClockTime>,
    /// Start of the last call of this node that the store answered, while the node
    /// reads it. A store that is no longer available may still end a watch.
    responded_at: Option<ClockTime>,
    /// The last outage, until targets have had the time to register again.
    outage: Option<StoreOutage>,
    /// Time of the first failed call since the last successful one.
    failing_since: Option<ClockTime>,
}

impl StoreConnectivity {
    /// Creates the state of a node that has not read the store yet.
    #[must_use]
    pub const fn new(renewal_interval: TimeSpan) -> Self {
        Self {
            renewal_interval,
            is_reading: false,
            confirmed_at: None,
            responded_at: None,
            outage: None,
            failing_since: None,
        }
    }

    /// Records the response to a call that began at `called_at`. Returns the length
    /// of the outage that it ends, if calls failed before.
    pub fn record_answer(&mut self, called_at: ClockTime, now: ClockTime) -> Option<TimeSpan> {
        self.confirmed_at = Some(now);
        self.responded_at = Some(called_at);
        self.end_outage(now);
        let since = self.failing_since.take()?;
        Some(now.since(since))
    }

    /// Records a failed call. Returns whether it is the first that leaves the node
    /// without current data.
    pub fn record_failure(&mut self, failure: CallFailure, now: ClockTime) -> bool {
        match failure {
            // After a long silence, the watch may have been cut by an outage that has
            // ended since.
            CallFailure::WatchCut
                if !self.may_hide_targets(&StoreOutage::new(self.responded_at), now) =>
            {
                return false;
            }
            CallFailure::RateLimited => self.end_outage(now),
            CallFailure::WatchCut | CallFailure::Unavailable => self.extend_outage(now),
        }
        let is_new = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        is_new
    }

    /// Records that the store was restored from a backup: records that are missing
    /// there may be written again.
    pub fn record_restore(&mut self, now: ClockTime) {
        let mut outage = StoreOutage::after_restore(now);
        if self.failing_since.is_some() {
            outage.resume();
        }
        self.outage = Some(outage);
    }

    /// Records that the data equals that of another node, for which it was current
    /// `age` ago.
    pub fn record_confirmation(&mut self, age: TimeSpan, now: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
    }

    /// Records whether missing records are settled for the node that this one
    /// follows. A node that reads the store judges by its own calls.
    pub fn record_source(&mut self, is_settled: bool, now: ClockTime) {
        if self.responded_at.is_some() {
            return;
        }
        if is_settled {
            self.outage = None;
        } else {
            self.extend_outage(now);
        }
    }

    /// Records that this node begins to read the store.
    pub const fn record_read_start(&mut self) {
        self.is_reading = true;
    }

    /// Records that this node stops reading the store and gets the data from other
    /// nodes.
    pub fn record_read_stop(&mut self, now: ClockTime) {
        if self.failing_since.take().is_some() {
            self.end_outage(now);
        }
        self.is_reading = false;
        self.responded_at = None;
    }

    /// Time since the data was last confirmed as current. `None` without a
    /// confirmation or while calls fail.
    #[must_use]
    pub fn data_age(&self, now: ClockTime) -> Option<TimeSpan> {
        let confirmed = self.confirmed_at.filter(|_| self.failing_since.is_none());
        confirmed.map(|at| now.since(at))
    }

    /// Whether this node reads the store, and its last call was answered.
    #[must_use]
    pub const fn is_connected(&self) -> bool {
        self.is_reading && self.responded_at.is_some() && self.failing_since.is_none()
    }

    /// Records that the process was suspended: the data no longer counts as
    /// current.
    pub fn record_pause(&mut self) {
        self.confirmed_at = None;
        self.responded_at = None;
    }

    /// Whether the data was confirmed as current recently.
    #[must_use]
    pub fn is_current(&self, now: ClockTime) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < MAX_CURRENT_AGE)
    }

    /// Whether a record that is missing from the data will not be written again.
    #[must_use]
    pub fn is_settled(&self, now: ClockTime) -> bool {
        !self
            .outage
            .is_some_and(|outage| self.may_hide_targets(&outage, now))
    }

    /// Time after which a further response shows whether missing records will be
    /// written again.
    #[must_use]
    pub fn settling_time(&self, now: ClockTime) -> TimeSpan {
        self.outage
            .map_or(TimeSpan::ZERO, |outage| outage.settling_time(now))
    }

    fn may_hide_targets(&self, outage: &StoreOutage, now: ClockTime) -> bool {
        let responded_at = self.responded_at.unwrap_or(now);
        outage.may_hide_targets(self.renewal_interval, responded_at, now)
    }

    fn extend_outage(&mut self, now: ClockTime) {
        let responded_at = self.responded_at.unwrap_or(now);
        match &mut self.outage {
            Some(outage) if !outage.is_over(responded_at) => outage.resume(),
            _ => self.outage = Some(StoreOutage::new(self.responded_at)),
        }
    }

    const fn end_outage(&mut self, now: ClockTime) {
        if let Some(outage) = &mut self.outage {
            outage.end(now);
        }
    }
}
