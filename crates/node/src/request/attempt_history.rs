use verbenahub_core::{
    clock::TimeSpan,
    policy::retry::{
        CallFailure, FailedAttempt, GiveUpReason, RetryBudget, RetryDecision, RetryRule,
    },
    protocol::ErrorCode,
    request::{StageEvent, StageFailure, StageStep, StageVerdict},
};

use super::stage_run::ATTEMPT_LIMIT;

/// Minimum retry delay sent to callers.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(200);

/// Summary of the attempts at one stage, from which retries and the failure of
/// the stage are derived.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    started: u32,
    failure: CallFailure,
    outcome_unknown: bool,
}

/// Conditions under which a retry is decided.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryConditions {
    pub(super) idempotent: bool,
    pub(super) remaining: TimeSpan,
    pub(super) needed: TimeSpan,
    pub(super) seed: u64,
}

impl AttemptHistory {
    pub(super) const fn new() -> Self {
        Self {
            started: 0,
            failure: CallFailure::NotSent,
            outcome_unknown: false,
        }
    }

    /// Number of attempts started.
    pub(super) const fn started(&self) -> u32 {
        self.started
    }

    pub(super) const fn record_start(&mut self) {
        self.started += 1;
    }

    /// Records the failure that an event reports. If the event reports none but
    /// the tracker ended the attempt, as it does for a result that it rejects,
    /// the attempt counts as a lost connection.
    pub(super) fn record_event(&mut self, reported: Option<CallFailure>, step: &StageStep) {
        let ended = matches!(step.verdict, StageVerdict::Retry | StageVerdict::GiveUp(_));
        if let Some(failure) = reported.or(ended.then_some(CallFailure::ConnectionLost)) {
            self.failure = failure;
            self.outcome_unknown |=
                matches!(failure, CallFailure::ConnectionLost | CallFailure::Stalled);
        }
    }

    /// Decides whether to start another attempt after all earlier ones have
    /// ended. Without a budget there is no retry.
    pub(super) fn decide(
        &self,
        conditions: RetryConditions,
        budget: Option<&RetryBudget>,
    ) -> RetryDecision {
        let attempt = FailedAttempt {
            idempotent: conditions.idempotent,
            failure: self.failure,
            attempts: self.started,
            remaining: conditions.remaining,
            needed: conditions.needed,
            seed: conditions.seed,
        };
        let rule = RetryRule {
            attempt_limit: ATTEMPT_LIMIT,
            ..RetryRule::default()
        };
        budget.map_or(RetryDecision::GiveUp(GiveUpReason::Attempts), |budget| {
            rule.decide(&attempt, budget)
        })
    }

    /// Returns the failure of the stage when no further attempt is started.
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
            outcome_known: !self.outcome_unknown,
            code,
            retry_after: None,
        }
    }
}

/// Returns the failure of the call that an event reports, if any.
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

/// Adds a retry delay to failures that are likely to be temporary.
pub(super) fn with_retry_after(mut failure: StageFailure, expected: TimeSpan) -> StageFailure {
    let temporary = matches!(failure.code, ErrorCode::NoTarget | ErrorCode::Overloaded);
    if temporary && failure.retry_after.is_none() {
        failure.retry_after = Some(expected.max(MIN_RETRY_AFTER));
    }
    failure
}
