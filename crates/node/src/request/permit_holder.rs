use verbenahub_core::{
    clock::ClockTime,
    ids::StageName,
    request::{StageEvent, TargetRefusal},
    ticket::SpentPermit,
};

use super::EffectPermitSource;
use crate::process::ProcessClock;

/// The right of a stage to send its non-idempotent call.
#[derive(Debug, Default)]
pub(super) struct PermitHolder {
    state: PermitState,
}

#[derive(Debug, Default)]
enum PermitState {
    /// None was asked for yet.
    #[default]
    None,
    /// A call was sent.
    Spent(SpentPermit),
    /// A call was sent, and its target said that it did not run it.
    Refused(SpentPermit, TargetRefusal),
}

impl PermitHolder {
    /// Spends a permit right before the first byte is written. Returns the key
    /// of the call, or nothing when it must not be sent.
    pub(super) fn spend(
        &mut self,
        gate: Option<&EffectPermitSource>,
        stage: &StageName,
        deadline: ClockTime,
        clock: &ProcessClock,
    ) -> Option<String> {
        let gate = gate?;
        let permit = match std::mem::take(&mut self.state) {
            PermitState::None => gate.acquire_permit(stage, deadline, clock.now()),
            PermitState::Refused(spent, refusal) => gate.renew_permit(spent, refusal, clock.now()),
            PermitState::Spent(spent) => {
                self.state = PermitState::Spent(spent);
                return None;
            }
        };
        let permit = permit.ok()?;
        let key = permit.idempotency_key();
        // The clock is read again, since the process may have been paused.
        self.state = PermitState::Spent(permit.spend(clock.now()).ok()?);
        Some(key)
    }

    /// The permit of the call that is being sent.
    pub(super) const fn spent(&self) -> Option<&SpentPermit> {
        match &self.state {
            PermitState::Spent(spent) => Some(spent),
            PermitState::None | PermitState::Refused(..) => None,
        }
    }

    /// Keeps a target's word that it did not run the call.
    pub(super) fn note(&mut self, event: &StageEvent) {
        let StageEvent::Refused { refusal, .. } = event else {
            return;
        };
        self.state = match std::mem::take(&mut self.state) {
            PermitState::Spent(spent) => PermitState::Refused(spent, *refusal),
            other => other,
        };
    }
}
