use verbenahub_core::{
    clock::ClockTime,
    ids::StageName,
    request::{StageEvent, TargetRefusal},
    ticket::SpentPermit,
};

use super::EffectPermitSource;
use crate::process::ProcessClock;

/// State of the permit that a non-idempotent stage needs to send its call.
#[derive(Debug, Default)]
pub(super) struct StagePermit {
    state: PermitState,
}

#[derive(Debug, Default)]
enum PermitState {
    /// No permit has been requested.
    #[default]
    None,
    /// The permit was spent on a call.
    Spent(SpentPermit),
    /// The permit was spent on a call that the target states it did not run.
    Refused(SpentPermit, TargetRefusal),
}

impl StagePermit {
    /// Spends a permit right before the first byte is written. Returns the
    /// idempotency key of the call, or `None` if the call must not be sent.
    pub(super) fn spend(
        &mut self,
        source: Option<&EffectPermitSource>,
        stage: &StageName,
        deadline: ClockTime,
        clock: &ProcessClock,
    ) -> Option<String> {
        let source = source?;
        let permit = match std::mem::take(&mut self.state) {
            PermitState::None => source.acquire_permit(stage, deadline, clock.now()),
            PermitState::Refused(spent, refusal) => {
                source.renew_permit(spent, refusal, clock.now())
            }
            PermitState::Spent(spent) => {
                self.state = PermitState::Spent(spent);
                return None;
            }
        };
        let permit = permit.ok()?;
        let key = permit.idempotency_key();
        // Reads the clock again because the process may have been paused since
        // the permit was issued.
        self.state = PermitState::Spent(permit.spend(clock.now()).ok()?);
        Some(key)
    }

    /// Returns the spent permit of the call that is being sent.
    pub(super) const fn spent(&self) -> Option<&SpentPermit> {
        match &self.state {
            PermitState::Spent(spent) => Some(spent),
            PermitState::None | PermitState::Refused(..) => None,
        }
    }

    /// Records the refusal if a target states that it did not run the call.
    pub(super) fn record_event(&mut self, event: &StageEvent) {
        let StageEvent::Refused { refusal, .. } = event else {
            return;
        };
        self.state = match std::mem::take(&mut self.state) {
            PermitState::Spent(spent) => PermitState::Refused(spent, *refusal),
            other => other,
        };
    }
}
