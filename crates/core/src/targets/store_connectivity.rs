use crate::clock::{ClockTime, TimeSpan};

/// How long records that lapsed in an outage may take to come back after it.
/// Live targets register again within about two seconds.
const RETURN_SPAN: TimeSpan = TimeSpan::from_millis(2_300);
/// Age of the last answer at which what was read counts as current no longer:
/// a waiting read and its time-out.
const CURRENT_SPAN: TimeSpan = TimeSpan::from_millis(3_500);

/// What this process knows of its contact to the platform's store, and so how
/// far it may believe what it has read there.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreConnectivity {
    confirmed_at: Option<ClockTime>,
    disturbed_at: Option<ClockTime>,
    failing_since: Option<ClockTime>,
}

impl StoreConnectivity {
    /// Notes an answer. Returns for how long there was none, if the contact
    /// was lost before.
    pub fn record_answer(&mut self, now: ClockTime) -> Option<TimeSpan> {
        self.confirmed_at = Some(now);
        let since = self.failing_since.take()?;
        self.disturbed_at = Some(now);
        Some(now.since(since))
    }

    /// Notes a call without an answer. Returns whether the contact is lost
    /// only now.
    pub fn record_failure(&mut self, now: ClockTime) -> bool {
        self.disturbed_at = Some(now);
        let is_new = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        is_new
    }

    /// Notes that the store has come back from a copy: what is missing there may
    /// be written again.
    pub const fn record_restore(&mut self, now: ClockTime) {
        self.disturbed_at = Some(now);
    }

    /// Notes that what another node holds is held here too, and was current
    /// `age` ago.
    pub fn record_confirmation(&mut self, age: TimeSpan, now: ClockTime) {
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
    }

    /// Notes that this node leaves reading to others.
    pub fn record_read_stop(&mut self) {
        self.failing_since = None;
    }

    /// Time since what is held was current, unless the store doesn't answer.
    #[must_use]
    pub fn data_age(&self, now: ClockTime) -> Option<TimeSpan> {
        let confirmed = self.confirmed_at.filter(|_| self.failing_since.is_none());
        confirmed.map(|at| now.since(at))
    }

    /// Notes that the process did not run for a while.
    pub fn record_pause(&mut self) {
        self.confirmed_at = None;
    }

    /// Whether what is held was current a moment ago.
    #[must_use]
    pub fn is_current(&self, now: ClockTime) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) < CURRENT_SPAN)
    }

    /// Whether the store has answered for long enough that a record which is
    /// missing is gone for good.
    #[must_use]
    pub fn is_settled(&self, now: ClockTime) -> bool {
        let is_quiet = self
            .disturbed_at
            .is_none_or(|at| now.since(at) >= RETURN_SPAN);
        self.failing_since.is_none() && is_quiet
    }
}
