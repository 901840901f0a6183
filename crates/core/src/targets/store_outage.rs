use crate::clock::{ClockTime, TimeSpan};

/// Number of renewal intervals without a renewal after which the store removes a
/// record.
const EXPIRY_INTERVALS: u64 = 3;
/// Inverse of the share of a renewal interval by which renewals may be late.
const RENEWAL_SLACK_DIVISOR: u64 = 8;
/// Time after an outage within which records that expired because of it may be
/// written again. Live targets register again within about two seconds.
const REREGISTRATION_PERIOD: TimeSpan = TimeSpan::from_millis(2_300);

/// A period in which calls to the store failed, so that live targets may have
/// failed to renew their records.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreOutage {
    /// Last time at which the store is known to have responded. `None` if
    /// unknown.
    silent_since: Option<ClockTime>,
    /// First response after the last failed call.
    ended_at: Option<ClockTime>,
}

impl StoreOutage {
    /// Starts an outage of a store that last responded at `silent_since`.
    pub(super) const fn new(silent_since: Option<ClockTime>) -> Self {
        Self {
            silent_since,
            ended_at: None,
        }
    }

    /// The state after a restore of the store from a backup, in which any record
    /// may be missing.
    pub(super) const fn after_restore(now: ClockTime) -> Self {
        Self {
            silent_since: None,
            ended_at: Some(now),
        }
    }

    /// Records a response of the store.
    pub(super) const fn end(&mut self, now: ClockTime) {
        if self.ended_at.is_none() {
            self.ended_at = Some(now);
        }
    }

    /// Records a failed call. It continues the outage, since targets have not all
    /// had the time to register again.
    pub(super) const fn resume(&mut self) {
        self.ended_at = None;
    }

    /// Time left until all targets have had the time to register again. Zero if the
    /// outage continues.
    pub(super) fn settling_time(&self, now: ClockTime) -> TimeSpan {
        self.ended_at
            .map_or(TimeSpan::ZERO, |end| now.until(end + REREGISTRATION_PERIOD))
    }

    /// Whether all targets had had the time to register again when the store last
    /// responded, at `responded_at`.
    pub(super) fn is_over(&self, responded_at: ClockTime) -> bool {
        self.ended_at
            .is_some_and(|end| responded_at.since(end) >= REREGISTRATION_PERIOD)
    }

    /// Whether the record of a live target may be missing at `now` from the data of
    /// a store that last responded at `responded_at`.
    pub(super) fn may_hide_targets(
        &self,
        renewal_interval: TimeSpan,
        responded_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        if let Some(since) = self.silent_since {
            let slack = renewal_interval / RENEWAL_SLACK_DIVISOR;
            // The last renewals before the outage are at most one interval older.
            let silence = (renewal_interval * (EXPIRY_INTERVALS - 1)).saturating_sub(slack);
            // A shorter outage prevents at most one renewal of each record.
            let is_short = |end: ClockTime| end.since(since) + slack < renewal_interval;
            if now < since + silence || self.ended_at.is_some_and(is_short) {
                return false;
            }
        }
        !self.is_over(responded_at)
    }
}
