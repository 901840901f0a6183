use crate::ids::TargetId;

/// Says that a request has not run and will not run. Only a ledger gives it
/// away, and only while that is true.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof(());

/// To which targets a request was sent, and whether it may have run there.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    tried: Vec<TargetId>,
    sends: u32,
    may_have_run: bool,
    in_flight: bool,
}

impl SendHistory {
    /// Notes that a target is about to get the request. Until its answer is
    /// known the request counts as one that may have run.
    pub fn record_send(&mut self, target: TargetId) {
        self.tried.push(target);
        self.sends += 1;
        self.in_flight = true;
    }

    /// Notes that not a byte has reached the target.
    pub const fn record_not_sent(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.in_flight = false;
    }

    /// Notes that the target says it did not run the request.
    pub const fn record_not_run(&mut self) {
        self.in_flight = false;
    }

    /// Notes any other end.
    pub const fn record_may_have_run(&mut self) {
        self.in_flight = false;
        self.may_have_run = true;
    }

    /// Targets that were tried.
    #[must_use]
    pub fn tried_targets(&self) -> &[TargetId] {
        &self.tried
    }

    /// Targets that got the request.
    #[must_use]
    pub const fn send_count(&self) -> u32 {
        self.sends
    }

    /// Targets that were tried, those included that were not reached.
    #[must_use]
    pub fn try_count(&self) -> usize {
        self.tried.len()
    }

    /// Whether the request may run again after it may have run already.
    #[must_use]
    pub const fn may_send(&self, may_repeat: bool, attempts: u32) -> bool {
        self.sends < attempts && (may_repeat || !self.may_have_run) && !self.in_flight
    }

    /// The proof that the request has not run, if that is certain.
    #[must_use]
    pub const fn prove_not_run(&self) -> Option<NotRunProof> {
        if self.may_have_run || self.in_flight {
            return None;
        }
        Some(NotRunProof(()))
    }
}
