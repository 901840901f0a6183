use bytes::Bytes;

use super::{
    AnswerKind, AnswerLabel, AttemptPlan, RequestPhase, SendToken, StageChunk, StageEvent,
    StageFailure, StageOutput, StagePolicy, StageStep, StageVerdict, StaleCounts, StaleReason,
    StartRefusal, TargetRefusal, attempt_end::AttemptEnd, attempt_list::AttemptList,
    received_text::ReceivedText,
};
use crate::{
    clock::TimeSpan,
    ids::{AttemptNumber, RequestId, StageName},
    protocol::ErrorCode,
    ticket::SpentPermit,
};

/// Maximum number of attempts that run at once: one and its hedge.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;

/// Tracks the attempts at one stage of one request and decides which of their
/// results are accepted.
#[derive(Debug)]
pub struct StageTracker {
    request: RequestId,
    stage: StageName,
    policy: StagePolicy,
    attempts: AttemptList,
    received: ReceivedText,
    retry_after: Option<TimeSpan>,
    ended: bool,
    stale_counts: StaleCounts,
}

impl StageTracker {
    /// Creates the tracker of a stage without attempts.
    #[must_use]
    pub fn new(request: RequestId, stage: StageName, policy: StagePolicy) -> Self {
        Self {
            request,
            stage,
            policy,
            attempts: AttemptList::new(policy),
            received: ReceivedText::default(),
            retry_after: None,
            ended: false,
            stale_counts: StaleCounts::default(),
        }
    }

    /// Number of tokens delivered so far.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.received.tokens()
    }

    /// Text delivered so far. It is appended to the prompt when a stream is
    /// resumed.
    #[must_use]
    pub fn received(&self) -> &[u8] {
        self.received.as_bytes()
    }

    /// Number of results that were not accepted, by reason.
    #[must_use]
    pub const fn stale_counts(&self) -> StaleCounts {
        self.stale_counts
    }

    /// Starts the first attempt or a retry. Its call is not written yet.
    ///
    /// # Errors
    ///
    /// Fails while another attempt is running, after the stage has ended, when
    /// the limit of attempts is reached, or when a non-idempotent stage may have
    /// run.
    pub fn start(&mut self) -> Result<AttemptPlan, StartRefusal> {
        if self.attempts.running_count() > 0 {
            return Err(StartRefusal::ConcurrencyLimit);
        }
        self.add_attempt()
    }

    /// Starts a second attempt beside the running one.
    ///
    /// # Errors
    ///
    /// Fails when the stage is not idempotent or has ended, when no attempt or
    /// already two are running, when a token was delivered, or when the limit of
    /// attempts is reached.
    pub fn start_hedge(&mut self) -> Result<AttemptPlan, StartRefusal> {
        let running = self.attempts.running_count();
        if self.tokens() > 0 || running == 0 || running >= MAX_CONCURRENT_ATTEMPTS {
            return Err(StartRefusal::ConcurrencyLimit);
        }
        self.add_attempt()
    }

    /// Records that the first byte of an attempt is about to be written.
    ///
    /// # Errors
    ///
    /// Fails when the attempt has ended or was sent already, when the stage is
    /// not idempotent and no permit for it was spent, or when it is idempotent
    /// and a permit for it was spent.
    pub fn begin_send(
        &mut self,
        attempt: AttemptNumber,
        permit: Option<&SpentPermit>,
        phase: &mut RequestPhase,
    ) -> Result<SendToken, StartRefusal> {
        if !self.attempts.is_running(attempt) || self.attempts.is_sent(attempt) {
            return Err(StartRefusal::NotPending);
        }
        let has_permit = permit.is_some_and(|permit| *permit.stage() == self.stage);
        if has_permit == self.policy.idempotent {
            return Err(StartRefusal::NoPermit);
        }
        self.attempts.mark_sent(attempt);
        phase.send(permit);
        Ok(SendToken { attempt })
    }

    /// Handles an event and returns how the stage continues.
    pub fn handle(&mut self, event: StageEvent, phase: &mut RequestPhase) -> StageStep {
        match event {
            StageEvent::UnaryResult { via, label, body } => self.on_unary_result(via, &label, body),
            StageEvent::Chunk(chunk) => self.on_chunk(chunk),
            StageEvent::End { via, label, tokens } => self.on_end(via, &label, tokens),
            // A non-idempotent call may have taken effect although it failed.
            StageEvent::Failed { via } => self.end_attempt(via, AttemptEnd::Failed),
            StageEvent::BadInput { via } => self.on_bad_input(via, phase),
            StageEvent::Refused {
                via,
                refusal,
                retry_after,
            } => self.on_refused(via, refusal, retry_after, phase),
            StageEvent::NotConnected { via } => self.end_attempt(via, AttemptEnd::NotSent),
            StageEvent::ConnectionLost { via } | StageEvent::TimedOut { via } => {
                self.end_attempt(via, AttemptEnd::Lost)
            }
            StageEvent::DeadlinePassed => self.end_without_result(ErrorCode::DeadlineExceeded),
            StageEvent::CallerGone => self.end_without_result(ErrorCode::ConnectionLost),
        }
    }

    fn add_attempt(&mut self) -> Result<AttemptPlan, StartRefusal> {
        if self.ended {
            return Err(StartRefusal::Ended);
        }
        let attempt = self.attempts.add()?;
        let resume_offset = self.tokens();
        Ok(AttemptPlan {
            attempt,
            resume_offset,
        })
    }

    fn on_unary_result(
        &mut self,
        via: AttemptNumber,
        label: &AnswerLabel,
        body: Bytes,
    ) -> StageStep {
        if let Some(step) = self.check_result(via, label, AnswerKind::Unary) {
            return step;
        }
        self.finish(via, body)
    }

    fn on_chunk(&mut self, chunk: StageChunk) -> StageStep {
        let StageChunk { via, label, .. } = &chunk;
        if let Some(step) = self.check_result(*via, label, AnswerKind::Stream) {
            return step;
        }
        let (offset, tokens, text) = (chunk.offset, chunk.tokens, chunk.text);
        match self.received.accept(offset, tokens, &text) {
            Ok(()) => {}
            Err(StaleReason::Duplicate) => return self.ignore(StaleReason::Duplicate),
            Err(reason) => return self.fail_attempt(chunk.via, reason),
        }
        let cancels = self.attempts.end_others(Some(chunk.via));
        let verdict = StageVerdict::Deliver {
            offset,
            tokens,
            text,
        };
        StageStep { verdict, cancels }
    }

    fn on_end(&mut self, via: AttemptNumber, label: &AnswerLabel, tokens: u64) -> StageStep {
        if let Some(step) = self.check_result(via, label, AnswerKind::Stream) {
            return step;
        }
        if tokens != self.tokens() {
            return self.fail_attempt(via, StaleReason::Gap);
        }
        let text = self.received.take();
        self.finish(via, text)
    }

    fn on_bad_input(&mut self, via: AttemptNumber, phase: &mut RequestPhase) -> StageStep {
        if !self.attempts.is_running(via) {
            return StageVerdict::Ignore(StaleReason::Late).into();
        }
        self.record_rejected_effect(via, phase);
        self.attempts.end(via, AttemptEnd::BadInput);
        self.end_without_result(ErrorCode::BadRequest)
    }

    fn on_refused(
        &mut self,
        via: AttemptNumber,
        refusal: TargetRefusal,
        retry_after: Option<TimeSpan>,
        phase: &mut RequestPhase,
    ) -> StageStep {
        self.retry_after = retry_after.or(self.retry_after);
        if self.is_in_flight(via) && self.policy.idempotent {
            phase.refused(refusal);
        } else if self.is_in_flight(via) {
            phase.effect_refused(refusal);
        }
        self.end_attempt(via, AttemptEnd::Refused)
    }

    /// Returns `None` if a result belongs to a running attempt at this stage.
    /// Otherwise returns the reaction to it.
    fn check_result(
        &mut self,
        via: AttemptNumber,
        label: &AnswerLabel,
        kind: AnswerKind,
    ) -> Option<StageStep> {
        if !self.attempts.is_running(via) {
            return Some(self.ignore(StaleReason::Late));
        }
        let same_stage = label.request == self.request && label.stage == self.stage;
        let current = label.attempt == via && self.attempts.is_sent(via);
        if same_stage && current && kind == self.policy.kind {
            return None;
        }
        Some(self.fail_attempt(via, StaleReason::CrossWired))
    }

    fn is_in_flight(&self, via: AttemptNumber) -> bool {
        self.attempts.is_running(via) && self.attempts.is_sent(via)
    }

    /// Records that a target rejected the input of a non-idempotent call, which
    /// therefore had no effect.
    fn record_rejected_effect(&self, via: AttemptNumber, phase: &mut RequestPhase) {
        if !self.policy.idempotent && self.is_in_flight(via) && self.tokens() == 0 {
            phase.effect_input_rejected();
        }
    }

    fn ignore(&mut self, reason: StaleReason) -> StageStep {
        self.stale_counts.add(reason);
        StageVerdict::Ignore(reason).into()
    }

    fn fail_attempt(&mut self, via: AttemptNumber, reason: StaleReason) -> StageStep {
        self.stale_counts.add(reason);
        self.end_attempt(via, AttemptEnd::Lost)
    }

    /// Ends one attempt and returns how the stage continues.
    fn end_attempt(&mut self, via: AttemptNumber, end: AttemptEnd) -> StageStep {
        if !self.attempts.is_running(via) {
            return StageVerdict::Ignore(StaleReason::Late).into();
        }
        let cancel = self.attempts.end(via, end);
        let verdict = if self.attempts.running_count() > 0 {
            StageVerdict::Wait
        } else if self.attempts.may_start() {
            StageVerdict::Retry
        } else {
            self.give_up(end.error_code())
        };
        let cancels = cancel.into_iter().collect();
        StageStep { verdict, cancels }
    }

    fn end_without_result(&mut self, code: ErrorCode) -> StageStep {
        if self.ended {
            return StageVerdict::Ignore(StaleReason::Late).into();
        }
        let cancels = self.attempts.end_others(None);
        let verdict = self.give_up(code);
        StageStep { verdict, cancels }
    }

    fn give_up(&mut self, code: ErrorCode) -> StageVerdict {
        self.ended = true;
        StageVerdict::GiveUp(StageFailure {
            outcome_known: self.attempts.all_outcomes_known(),
            code,
            retry_after: self.retry_after,
        })
    }

    fn finish(&mut self, via: AttemptNumber, body: Bytes) -> StageStep {
        self.ended = true;
        self.attempts.end(via, AttemptEnd::Finished);
        let cancels = self.attempts.end_others(None);
        let tokens = self.tokens();
        let verdict = StageVerdict::Finish(StageOutput { body, tokens });
        StageStep { verdict, cancels }
    }
}
