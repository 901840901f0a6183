use super::{StagePolicy, StartRefusal, attempt_end::AttemptEnd, stage_attempt::StageAttempt};
use crate::ids::AttemptNumber;

/// The attempts at one stage, in the order in which they were started.
#[derive(Debug)]
pub(super) struct AttemptList {
    policy: StagePolicy,
    attempts: Vec<StageAttempt>,
}

impl AttemptList {
    pub(super) const fn new(policy: StagePolicy) -> Self {
        Self {
            policy,
            attempts: Vec::new(),
        }
    }

    /// Adds an attempt unless the policy or an earlier attempt forbids it.
    pub(super) fn add(&mut self) -> Result<AttemptNumber, StartRefusal> {
        self.check_start()?;
        let number = AttemptNumber::new(self.attempts.len() as u64 + 1);
        self.attempts.push(StageAttempt::new(number));
        Ok(number)
    }

    /// Whether another attempt could start if none were running.
    pub(super) fn may_start(&self) -> bool {
        self.check_start().is_ok()
    }

    pub(super) fn running_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_running())
            .count()
    }

    pub(super) fn is_running(&self, number: AttemptNumber) -> bool {
        self.find(number).is_some_and(StageAttempt::is_running)
    }

    pub(super) fn is_sent(&self, number: AttemptNumber) -> bool {
        self.find(number).is_some_and(|attempt| attempt.sent)
    }

    pub(super) fn mark_sent(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.find_mut(number) {
            attempt.sent = true;
        }
    }

    /// Ends a running attempt. Returns its number if its call must be cancelled
    /// at the target.
    ///
    /// Whatever `end` says, an attempt that was never sent ends as `NotSent`,
    /// and one that was sent never does.
    pub(super) fn end(&mut self, number: AttemptNumber, end: AttemptEnd) -> Option<AttemptNumber> {
        let idempotent = self.policy.idempotent;
        let attempt = self.find_mut(number)?;
        let end = match (attempt.sent, end) {
            (false, _) => AttemptEnd::NotSent,
            (true, AttemptEnd::NotSent) => AttemptEnd::Lost,
            (true, end) => end,
        };
        attempt.end.get_or_insert(end);
        (idempotent && !end.is_outcome_known()).then_some(number)
    }

    /// Ends all running attempts except `kept`. Returns those whose calls must
    /// be cancelled at their targets.
    ///
    /// Non-idempotent calls are not cancelled, since their answer may still be
    /// used.
    pub(super) fn end_others(&mut self, kept: Option<AttemptNumber>) -> Vec<AttemptNumber> {
        let running = self.attempts.iter().filter(|attempt| attempt.is_running());
        let others: Vec<AttemptNumber> = running
            .map(|attempt| attempt.number)
            .filter(|number| Some(*number) != kept)
            .collect();
        let ending = others.into_iter();
        ending
            .filter_map(|number| self.end(number, AttemptEnd::Cancelled))
            .collect()
    }

    /// Whether it is known of every attempt how it ended.
    pub(super) fn all_outcomes_known(&self) -> bool {
        let mut ends = self.attempts.iter().map(|attempt| attempt.end);
        ends.all(|end| end.is_some_and(AttemptEnd::is_outcome_known))
    }

    fn check_start(&self) -> Result<(), StartRefusal> {
        if self.attempts.len() as u64 >= u64::from(self.policy.attempt_limit) {
            return Err(StartRefusal::Exhausted);
        }
        let mut ends = self.attempts.iter().map(|attempt| attempt.end);
        let not_run = ends.all(|end| end.is_some_and(AttemptEnd::is_not_run));
        if !self.policy.idempotent && !not_run {
            return Err(StartRefusal::MayHaveRun);
        }
        Ok(())
    }

    fn find(&self, number: AttemptNumber) -> Option<&StageAttempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.number == number)
    }

    fn find_mut(&mut self, number: AttemptNumber) -> Option<&mut StageAttempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.number == number)
    }
}
