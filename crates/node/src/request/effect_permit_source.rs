use std::sync::{Arc, Mutex, PoisonError};

use verbenahub_core::{
    clock::ClockTime,
    ids::StageName,
    request::TargetRefusal,
    ticket::{EffectPermit, EffectRefusal, RunClaim, SpentPermit, TicketLedger},
};

use crate::tickets::TicketWaiter;

/// Issues the permits for the non-idempotent stages of a running ticket.
#[derive(Debug)]
pub struct EffectPermitSource {
    ledger: Arc<Mutex<TicketLedger<TicketWaiter>>>,
    claim: RunClaim,
}

impl EffectPermitSource {
    /// Creates the source for the run that holds `claim`.
    #[must_use]
    pub const fn new(ledger: Arc<Mutex<TicketLedger<TicketWaiter>>>, claim: RunClaim) -> Self {
        Self { ledger, claim }
    }

    /// Acquires the permit of a stage. Each stage gets only one.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed, if the ticket has expired or is not
    /// running, or if the permit of the stage was already issued.
    pub fn acquire_permit(
        &self,
        stage: &StageName,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.acquire_permit(&self.claim, stage, deadline, now)
    }

    /// Replaces a spent permit after a target stated that it did not run the
    /// call.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed or if the ticket has expired or is not
    /// running.
    pub fn renew_permit(
        &self,
        spent: SpentPermit,
        refusal: TargetRefusal,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.renew_permit(spent, refusal, now)
    }

    /// Returns the claim at the end of the run.
    pub fn into_claim(self) -> RunClaim {
        self.claim
    }
}
