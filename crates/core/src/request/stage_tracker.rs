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

/// Attempts that run at once: one and its hedge.
const RACING_LIMIT: usize = 2;

/// The attempts at one stage of one request, and what was accepted of them.
#[derive(Debug)]
pub struct StageTracker {
    request: RequestId,
    stage: StageName,
    policy: StagePolicy,
    attempts: AttemptList,
    received: ReceivedText,
    retry_after: Option<TimeSpan>,
    ended: bool,
    stale: StaleCounts,
}

impl StageTracker {
    /// Begins a stage.
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
            stale: StaleCounts::default(),
        }
    }

    /// Tokens delivered so far.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.received.tokens()
    }

    /// Text delivered so far, which follows the prompt when a stream resumes.
    #[must_use]
    pub fn received(&self) -> &[u8] {
        self.received.as_bytes()
    }

    /// Results that were ignored.
    #[must_use]
    pub const fn stale_counts(&self) -> StaleCounts {
        self.stale
    }

    /// Starts the first attempt or a retry. Nothing is written yet.
    ///
    /// # Errors
    ///
    /// Fails while another attempt runs, or when no attempt is left.
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
    /// Fails when the stage is not idempotent, when a token was delivered or
    /// when no attempt is left.
    pub fn start_hedge(&mut self) -> Result<AttemptPlan, StartRefusal> {
        let racing = self.attempts.running_count();
        if self.tokens() > 0 || racing == 0 || racing >= RACING_LIMIT {
            return Err(StartRefusal::ConcurrencyLimit);
        }
        self.add_attempt()
    }

    /// Records that the first byte of an attempt is about to be written.
    ///
    /// # Errors
    ///
    /// Fails when the attempt has ended or was sent before, or when the stage
    /// is not idempotent and no permit for it was spent.
    pub fn begin_send(
        &mut self,
        attempt: AttemptNumber,
        permit: Option<&SpentPermit>,
        phase: &mut RequestPhase,
    ) -> Result<SendToken, StartRefusal> {
        if !self.attempts.is_running(attempt) || self.attempts.is_sent(attempt) {
            return Err(StartRefusal::NotPending);
        }
        let permitted = permit.is_some_and(|permit| *permit.stage() == self.stage);
        if permitted == self.policy.idempotent {
            return Err(StartRefusal::NoPermit);
        }
        self.attempts.mark_sent(attempt);
        phase.send(permit);
        Ok(SendToken { attempt })
    }

    /// Takes an event and says what follows.
    pub fn handle(&mut self, event: StageEvent, phase: &mut RequestPhase) -> StageStep {
        match event {
            StageEvent::UnaryResult { via, label, body } => self.on_unary_result(via, &label, body),
            StageEvent::Chunk(chunk) => self.on_chunk(chunk),
            StageEvent::End { via, label, tokens } => self.on_end(via, &label, tokens),
            // A failed non-idempotent call may have had its effect all the same.
            StageEvent::Failed { via } => self.close(via, AttemptEnd::Failed),
            StageEvent::BadInput { via } => self.on_bad_input(via, phase),
            StageEvent::Refused {
                via,
                refusal,
                retry_after,
            } => self.on_refused(via, refusal, retry_after, phase),
            StageEvent::NotConnected { via } => self.close(via, AttemptEnd::NotSent),
            StageEvent::ConnectionLost { via } | StageEvent::TimedOut { via } => {
                self.close(via, AttemptEnd::Lost)
            }
            StageEvent::DeadlinePassed => self.stop(ErrorCode::DeadlineExceeded),
            StageEvent::CallerGone => self.stop(ErrorCode::ConnectionLost),
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
            Err(reason) => return self.break_attempt(chunk.via, reason),
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
            return self.break_attempt(via, StaleReason::Gap);
        }
        let text = self.received.take();
        self.finish(via, text)
    }

    fn on_bad_input(&mut self, via: AttemptNumber, phase: &mut RequestPhase) -> StageStep {
        if !self.attempts.is_running(via) {
            return StageVerdict::Ignore(StaleReason::Late).into();
        }
        self.settle_effect(via, phase);
        self.attempts.end(via, AttemptEnd::BadInput);
        self.stop(ErrorCode::BadRequest)
    }

    fn on_refused(
        &mut self,
        via: AttemptNumber,
        refusal: TargetRefusal,
        retry_after: Option<TimeSpan>,
        phase: &mut RequestPhase,
    ) -> StageStep {
        self.retry_after = retry_after.or(self.retry_after);
        if self.is_open(via) && self.policy.idempotent {
            phase.refused(refusal);
        } else if self.is_open(via) {
            phase.effect_refused(refusal);
        }
        self.close(via, AttemptEnd::Refused)
    }

    /// Says whether a result belongs to a running attempt of this stage.
    fn check_result(
        &mut self,
        via: AttemptNumber,
        label: &AnswerLabel,
        kind: AnswerKind,
    ) -> Option<StageStep> {
        if !self.attempts.is_running(via) {
            return Some(self.ignore(StaleReason::Late));
        }
        let own = label.request == self.request && label.stage == self.stage;
        let current = label.attempt == via && self.attempts.is_sent(via);
        if own && current && kind == self.policy.kind {
            return None;
        }
        Some(self.break_attempt(via, StaleReason::CrossWired))
    }

    fn is_open(&self, via: AttemptNumber) -> bool {
        self.attempts.is_running(via) && self.attempts.is_sent(via)
    }

    /// A target refused the input of the non-idempotent stage, which therefore
    /// had no effect.
    fn settle_effect(&self, via: AttemptNumber, phase: &mut RequestPhase) {
        if !self.policy.idempotent && self.is_open(via) && self.tokens() == 0 {
            phase.effect_input_rejected();
        }
    }

    fn ignore(&mut self, reason: StaleReason) -> StageStep {
        self.stale.add(reason);
        StageVerdict::Ignore(reason).into()
    }

    fn break_attempt(&mut self, via: AttemptNumber, reason: StaleReason) -> StageStep {
        self.stale.add(reason);
        self.close(via, AttemptEnd::Lost)
    }

    /// Ends one attempt and says how the stage goes on.
    fn close(&mut self, via: AttemptNumber, end: AttemptEnd) -> StageStep {
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

    fn stop(&mut self, code: ErrorCode) -> StageStep {
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
