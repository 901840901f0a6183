use crate::ids::TargetId;

/// Proof that a request has not run and will not run. Only [`SendHistory`]
/// creates it, and only while this is certain.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof(());

/// Records to which targets a request was sent and whether it may have run.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    tried: Vec<TargetId>,
    sends: u32,
    may_have_run: bool,
    in_flight: bool,
}

impl SendHistory {
    /// Records that the request is about to be sent to a target. Until the
    /// result is recorded, the request may be running there.
    pub fn record_send(&mut self, target: TargetId) {
        self.tried.push(target);
        self.sends += 1;
        self.in_flight = true;
    }

    /// Records that no byte of the request reached the target.
    pub const fn record_not_sent(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.in_flight = false;
    }

    /// Records that the target reported that it did not run the request.
    pub const fn record_not_run(&mut self) {
        self.in_flight = false;
    }

    /// Records any other result, after which the request may have run.
    pub const fn record_may_have_run(&mut self) {
        self.in_flight = false;
        self.may_have_run = true;
    }

    /// Targets that were tried, whether or not they were reached.
    #[must_use]
    pub fn tried_targets(&self) -> &[TargetId] {
        &self.tried
    }

    /// Number of sends, without those that did not reach their target.
    #[must_use]
    pub const fn send_count(&self) -> u32 {
        self.sends
    }

    /// Number of tries, including those that did not reach their target.
    #[must_use]
    pub fn try_count(&self) -> usize {
        self.tried.len()
    }

    /// Whether the request may be sent to another target. `may_repeat` allows
    /// this after it may have run; `attempts` is the maximum number of sends.
    #[must_use]
    pub const fn may_send(&self, may_repeat: bool, attempts: u32) -> bool {
        self.sends < attempts && (may_repeat || !self.may_have_run) && !self.in_flight
    }

    /// Returns the proof that the request has not run, if that is certain.
    #[must_use]
    pub const fn prove_not_run(&self) -> Option<NotRunProof> {
        if self.may_have_run || self.in_flight {
            return None;
        }
        Some(NotRunProof(()))
    }
}
