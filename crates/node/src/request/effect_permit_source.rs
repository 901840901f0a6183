use std::sync::{Arc, Mutex, PoisonError};

use verbenahub_core::{
    clock::ClockTime,
    ids::StageName,
    request::TargetRefusal,
    ticket::{EffectPermit, EffectRefusal, RunClaim, SpentPermit, TicketLedger},
};

use crate::tickets::TicketWaiter;

/// Gives a running ticket the permits for its non-idempotent stages.
#[derive(Debug)]
pub struct EffectPermitSource {
    ledger: Arc<Mutex<TicketLedger<TicketWaiter>>>,
    claim: RunClaim,
}

impl EffectPermitSource {
    /// Creates the gate of one running ticket.
    #[must_use]
    pub const fn new(ledger: Arc<Mutex<TicketLedger<TicketWaiter>>>, claim: RunClaim) -> Self {
        Self { ledger, claim }
    }

    /// The one permit for a stage.
    ///
    /// # Errors
    ///
    /// Fails when it is too late, or when the stage has had its permit.
    pub fn acquire_permit(
        &self,
        stage: &StageName,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.acquire_permit(&self.claim, stage, deadline, now)
    }

    /// A new permit after a target said that it did not run the call.
    ///
    /// # Errors
    ///
    /// Fails when it is too late.
    pub fn renew_permit(
        &self,
        spent: SpentPermit,
        refusal: TargetRefusal,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.renew_permit(spent, refusal, now)
    }

    /// Gives the claim back at the end of the run.
    pub fn into_claim(self) -> RunClaim {
        self.claim
    }
}
