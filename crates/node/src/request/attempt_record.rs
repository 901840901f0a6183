use verbenahub_core::{
    clock::TimeSpan,
    policy::retry::{
        CallFailure, FailedAttempt, GiveUpReason, RetryBudget, RetryDecision, RetryRule,
    },
    protocol::ErrorCode,
    request::{StageEvent, StageFailure, StageStep, StageVerdict},
};

use super::stage_run::ATTEMPT_LIMIT;

/// Shortest time after which a caller is told to come back.
const SHORTEST_RETURN: TimeSpan = TimeSpan::from_millis(200);

/// What has become of the attempts at one stage, as far as retries and the
/// final failure depend on it.
#[derive(Debug)]
pub(super) struct AttemptRecord {
    started: u32,
    failure: CallFailure,
    uncertain: bool,
}

/// What a retry would have to fit into.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryFrame {
    pub(super) idempotent: bool,
    pub(super) left: TimeSpan,
    pub(super) needed: TimeSpan,
    pub(super) seed: u64,
}

impl AttemptRecord {
    pub(super) const fn new() -> Self {
        Self {
            started: 0,
            failure: CallFailure::NotSent,
            uncertain: false,
        }
    }

    /// Attempts started so far.
    pub(super) const fn started(&self) -> u32 {
        self.started
    }

    pub(super) const fn note_start(&mut self) {
        self.started += 1;
    }

    /// Notes what an event meant for its attempt. A result that the tracker
    /// did not accept breaks the attempt as well.
    pub(super) fn note(&mut self, told: Option<CallFailure>, step: &StageStep) {
        let ended = matches!(step.verdict, StageVerdict::Retry | StageVerdict::GiveUp(_));
        if let Some(failure) = told.or(ended.then_some(CallFailure::ConnectionLost)) {
            self.failure = failure;
            self.uncertain |= matches!(failure, CallFailure::ConnectionLost | CallFailure::Stalled);
        }
    }

    /// Decides whether another attempt starts now that all have ended.
    pub(super) fn decide(&self, frame: RetryFrame, budget: Option<&RetryBudget>) -> RetryDecision {
        let ask = FailedAttempt {
            idempotent: frame.idempotent,
            failure: self.failure,
            attempts: self.started,
            remaining: frame.left,
            needed: frame.needed,
            seed: frame.seed,
        };
        let rule = RetryRule {
            attempt_limit: ATTEMPT_LIMIT,
            ..RetryRule::default()
        };
        budget.map_or(RetryDecision::GiveUp(GiveUpReason::Attempts), |budget| {
            rule.decide(&ask, budget)
        })
    }

    /// The failure of the stage when no further attempt starts.
    pub(super) fn failure(&self, reason: GiveUpReason) -> StageFailure {
        let code = match (reason, self.failure) {
            (GiveUpReason::Deadline, _) => ErrorCode::DeadlineExceeded,
            (_, CallFailure::NotSent) => ErrorCode::NoTarget,
            (_, CallFailure::Refused { .. }) => ErrorCode::Overloaded,
            (_, CallFailure::BadInput) => ErrorCode::BadRequest,
            (_, CallFailure::TargetFailed) => ErrorCode::StageFailed,
            (_, CallFailure::ConnectionLost | CallFailure::Stalled) => ErrorCode::ConnectionLost,
        };
        StageFailure {
            outcome_known: !self.uncertain,
            code,
            retry_after: None,
        }
    }
}

/// What an event says of a failed call.
pub(super) fn call_failure(event: &StageEvent) -> Option<CallFailure> {
    match event {
        StageEvent::NotConnected { .. } => Some(CallFailure::NotSent),
        StageEvent::Refused { retry_after, .. } => Some(CallFailure::Refused {
            retry_after: retry_after.unwrap_or_default(),
        }),
        StageEvent::BadInput { .. } => Some(CallFailure::BadInput),
        StageEvent::Failed { .. } => Some(CallFailure::TargetFailed),
        StageEvent::ConnectionLost { .. } => Some(CallFailure::ConnectionLost),
        StageEvent::TimedOut { .. } => Some(CallFailure::Stalled),
        _ => None,
    }
}

/// Adds when to come back where a return is useful.
pub(super) fn with_return(mut failure: StageFailure, usual: TimeSpan) -> StageFailure {
    let useful = matches!(failure.code, ErrorCode::NoTarget | ErrorCode::Overloaded);
    if useful && failure.retry_after.is_none() {
        failure.retry_after = Some(usual.max(SHORTEST_RETURN));
    }
    failure
}
