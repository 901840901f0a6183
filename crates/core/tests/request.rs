//! Outcomes that a request may report, and results of a stage that are accepted.

use assert_matches::assert_matches;
use bytes::Bytes;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{
        AttemptNumber, IncarnationNumber, NodeId, PipelineName, RequestId, StageName, WorkspaceId,
    },
    protocol::{AnswerOutcome, ErrorCode},
    request::{
        AnswerClass, AnswerKind, AnswerLabel, RequestPhase, StageChunk, StageEvent, StageFailure,
        StagePolicy, StageStep, StageTracker, StageVerdict, StaleCounts, StaleReason, StartRefusal,
        TargetRefusal,
    },
    ticket::{
        BodyDigest, ClaimDecision, IncarnationKey, SpentPermit, TicketHolder, TicketLedger,
        TicketLimits, TicketSigner,
    },
};

fn refusal() -> TargetRefusal {
    assert_matches!(AnswerClass::of_status(503), AnswerClass::Refused(refusal) => refusal)
}

fn stage() -> StageName {
    StageName::new("draft").unwrap()
}

fn request() -> RequestId {
    RequestId::new("r1").unwrap()
}

fn number(number: u64) -> AttemptNumber {
    AttemptNumber::new(number)
}

fn label(attempt: u64) -> AnswerLabel {
    AnswerLabel {
        request: request(),
        stage: stage(),
        attempt: number(attempt),
    }
}

fn chunk(attempt: u64, offset: u64, text: &'static str) -> StageEvent {
    StageEvent::Chunk(StageChunk {
        via: number(attempt),
        label: label(attempt),
        offset,
        tokens: text.len() as u64,
        text: Bytes::from_static(text.as_bytes()),
    })
}

fn end(attempt: u64, tokens: u64) -> StageEvent {
    StageEvent::End {
        via: number(attempt),
        label: label(attempt),
        tokens,
    }
}

fn unary_result(attempt: u64, body: &'static str) -> StageEvent {
    StageEvent::UnaryResult {
        via: number(attempt),
        label: label(attempt),
        body: Bytes::from_static(body.as_bytes()),
    }
}

fn refused(attempt: u64) -> StageEvent {
    StageEvent::Refused {
        via: number(attempt),
        refusal: refusal(),
        retry_after: Some(TimeSpan::from_millis(20)),
    }
}

fn lost(attempt: u64) -> StageEvent {
    StageEvent::ConnectionLost {
        via: number(attempt),
    }
}

/// A stage tracker and the state of its request.
struct StageFixture {
    tracker: StageTracker,
    phase: RequestPhase,
}

impl StageFixture {
    fn new(kind: AnswerKind, idempotent: bool) -> Self {
        let policy = StagePolicy {
            kind,
            idempotent,
            attempt_limit: 3,
        };
        Self {
            tracker: StageTracker::new(request(), stage(), policy),
            phase: RequestPhase::new(request()),
        }
    }

    fn stream() -> Self {
        let mut fixture = Self::new(AnswerKind::Stream, true);
        fixture.send_next();
        fixture
    }

    fn send_next(&mut self) -> u64 {
        let plan = self.tracker.start().unwrap();
        self.send(plan.attempt);
        plan.resume_offset
    }

    fn send(&mut self, attempt: AttemptNumber) {
        let token = self
            .tracker
            .begin_send(attempt, None, &mut self.phase)
            .unwrap();
        assert_eq!(token.attempt(), attempt);
    }

    fn handle(&mut self, event: StageEvent) -> StageStep {
        self.tracker.handle(event, &mut self.phase)
    }

    fn verdict(&mut self, event: StageEvent) -> StageVerdict {
        self.handle(event).verdict
    }

    fn outcome_after(mut self, event: StageEvent) -> AnswerOutcome {
        let failure =
            assert_matches!(self.verdict(event), StageVerdict::GiveUp(failure) => failure);
        self.phase.stage_failed(&failure, "failed").outcome()
    }
}

fn spent_permit(stage: &StageName) -> SpentPermit {
    let holder = TicketHolder {
        incarnation: IncarnationKey {
            node: NodeId::new("node-1").unwrap(),
            incarnation: IncarnationNumber::new(1),
        },
        address: ([127, 0, 0, 1], 4_000).into(),
    };
    let signer = TicketSigner::new(b"secret");
    let pipeline = PipelineName::new("visit").unwrap();
    let workspace = WorkspaceId::new("inn").unwrap();
    let now = ClockTime::ZERO;
    let mut ledger = TicketLedger::<()>::new(holder, TicketLimits::default());
    let ticket = ledger
        .issue(&signer, &pipeline, &workspace, None, now)
        .unwrap();
    let decision = ledger.claim(&ticket, BodyDigest::of(b""), now);
    let claim = assert_matches!(decision, ClaimDecision::Run(claim) => claim);
    let permit = ledger.acquire_permit(&claim, stage, now, now).unwrap();
    permit.spend(now).unwrap()
}

#[test]
fn stream_is_delivered_in_order_and_ends_explicitly() {
    let mut fixture = StageFixture::stream();
    assert_matches!(
        fixture.verdict(chunk(1, 0, "ab")),
        StageVerdict::Deliver { offset: 0, .. }
    );
    assert_matches!(
        fixture.verdict(chunk(1, 2, "c")),
        StageVerdict::Deliver { offset: 2, .. }
    );
    let output =
        assert_matches!(fixture.verdict(end(1, 3)), StageVerdict::Finish(output) => output);
    assert_eq!(
        (output.body, output.tokens),
        (Bytes::from_static(b"abc"), 3)
    );
    assert_eq!(fixture.phase.done().outcome(), AnswerOutcome::Done);
}

#[test]
fn broken_stream_resumes_where_it_stopped() {
    let mut fixture = StageFixture::stream();
    let _ = fixture.handle(chunk(1, 0, "ab"));
    let step = fixture.handle(lost(1));
    assert_eq!(
        (step.verdict, step.cancels),
        (StageVerdict::Retry, vec![number(1)])
    );
    assert_eq!(fixture.send_next(), 2);
    let late = fixture.verdict(chunk(1, 2, "c"));
    assert_eq!(late, StageVerdict::Ignore(StaleReason::Late));
    let _ = fixture.handle(chunk(2, 2, "c"));
    let output =
        assert_matches!(fixture.verdict(end(2, 3)), StageVerdict::Finish(output) => output);
    assert_eq!(output.body, Bytes::from_static(b"abc"));
}

#[test]
fn end_with_a_wrong_token_total_fails_the_attempt() {
    for total in [1, 3] {
        let mut fixture = StageFixture::stream();
        let _ = fixture.handle(chunk(1, 0, "ab"));
        assert_eq!(fixture.verdict(end(1, total)), StageVerdict::Retry);
        assert_eq!(fixture.tracker.stale_counts().gap, 1);
    }
}

#[test]
fn stale_results_are_ignored_and_counted() {
    let mut fixture = StageFixture::stream();
    let _ = fixture.handle(chunk(1, 0, "ab"));
    let duplicate = fixture.verdict(chunk(1, 0, "ab"));
    assert_eq!(duplicate, StageVerdict::Ignore(StaleReason::Duplicate));
    assert_eq!(fixture.verdict(chunk(1, 3, "d")), StageVerdict::Retry);
    assert_eq!(fixture.send_next(), 2);
    let late = fixture.verdict(end(1, 2));
    assert_eq!(late, StageVerdict::Ignore(StaleReason::Late));
    let overlap = fixture.verdict(chunk(2, 1, "bc"));
    assert_eq!(overlap, StageVerdict::Retry);
    let counts = StaleCounts {
        late: 1,
        duplicate: 1,
        gap: 2,
        cross_wired: 0,
    };
    assert_eq!(fixture.tracker.stale_counts(), counts);
}

#[test]
fn result_with_a_foreign_label_fails_the_attempt() {
    let other = AnswerLabel {
        request: RequestId::new("r2").unwrap(),
        ..label(1)
    };
    let sibling = AnswerLabel {
        stage: StageName::new("rerank").unwrap(),
        ..label(1)
    };
    for label in [other, sibling, label(2)] {
        let mut fixture = StageFixture::new(AnswerKind::Unary, true);
        fixture.send_next();
        let body = Bytes::from_static(b"not yours");
        let via = number(1);
        let verdict = fixture.verdict(StageEvent::UnaryResult { via, label, body });
        assert_eq!(verdict, StageVerdict::Retry);
        assert_eq!(fixture.tracker.stale_counts().cross_wired, 1);
    }
}

#[test]
fn first_complete_answer_wins_and_the_other_attempt_is_cancelled() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    fixture.send_next();
    let hedge = fixture.tracker.start_hedge().unwrap();
    fixture.send(hedge.attempt);
    assert_eq!(
        fixture.tracker.start_hedge(),
        Err(StartRefusal::ConcurrencyLimit)
    );
    let step = fixture.handle(unary_result(2, "b"));
    assert_eq!(step.cancels, [number(1)]);
    assert_matches!(step.verdict, StageVerdict::Finish(_));
    let late = fixture.verdict(unary_result(1, "a"));
    assert_eq!(late, StageVerdict::Ignore(StaleReason::Late));
}

#[test]
fn first_token_of_two_streams_wins() {
    let mut fixture = StageFixture::stream();
    let hedge = fixture.tracker.start_hedge().unwrap();
    fixture.send(hedge.attempt);
    assert_eq!(fixture.handle(chunk(2, 0, "x")).cancels, [number(1)]);
    let late = fixture.verdict(chunk(1, 1, "b"));
    assert_eq!(late, StageVerdict::Ignore(StaleReason::Late));
    assert_eq!(
        fixture.tracker.start_hedge(),
        Err(StartRefusal::ConcurrencyLimit)
    );
}

#[test]
fn stage_waits_for_the_hedge_of_a_failed_attempt() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    fixture.send_next();
    let hedge = fixture.tracker.start_hedge().unwrap();
    fixture.send(hedge.attempt);
    assert_eq!(fixture.verdict(lost(1)), StageVerdict::Wait);
    assert_matches!(
        fixture.verdict(unary_result(2, "b")),
        StageVerdict::Finish(_)
    );
}

#[test]
fn refusals_alone_leave_the_request_not_run() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    fixture.send_next();
    assert_eq!(fixture.verdict(refused(1)), StageVerdict::Retry);
    let plan = fixture.tracker.start().unwrap();
    let via = plan.attempt;
    assert_eq!(
        fixture.verdict(StageEvent::NotConnected { via }),
        StageVerdict::Retry
    );
    fixture.send_next();
    let failure =
        assert_matches!(fixture.verdict(refused(3)), StageVerdict::GiveUp(failure) => failure);
    assert_eq!(failure.retry_after, Some(TimeSpan::from_millis(20)));
    let body = fixture
        .phase
        .stage_failed(&failure, "full")
        .error_body()
        .unwrap();
    assert_eq!(
        (body.outcome, body.code),
        (AnswerOutcome::NotRun, ErrorCode::Overloaded)
    );
    assert_eq!(body.retry_after_ms, Some(20));
}

#[test]
fn refusal_after_a_lost_attempt_is_outcome_unknown() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    fixture.send_next();
    let _ = fixture.handle(lost(1));
    fixture.send_next();
    let _ = fixture.handle(refused(2));
    fixture.send_next();
    assert_eq!(
        fixture.outcome_after(refused(3)),
        AnswerOutcome::OutcomeUnknown
    );
}

#[test]
fn deadline_before_the_first_byte_is_not_run() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    let _ = fixture.tracker.start().unwrap();
    assert_eq!(
        fixture.outcome_after(StageEvent::DeadlinePassed),
        AnswerOutcome::NotRun
    );
}

#[test]
fn no_connection_after_the_first_byte_counts_as_lost() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    fixture.send_next();
    let _ = fixture.handle(StageEvent::NotConnected { via: number(1) });
    assert_eq!(
        fixture.outcome_after(StageEvent::DeadlinePassed),
        AnswerOutcome::OutcomeUnknown
    );
}

#[test]
fn rejected_input_ends_the_request_as_failed() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, true);
    fixture.send_next();
    let event = StageEvent::BadInput { via: number(1) };
    assert_eq!(fixture.outcome_after(event), AnswerOutcome::Failed);
}

#[test]
fn non_idempotent_stage_needs_its_own_permit() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, false);
    let attempt = fixture.tracker.start().unwrap().attempt;
    let other = spent_permit(&StageName::new("deposit").unwrap());
    for permit in [None, Some(&other)] {
        let refused = fixture
            .tracker
            .begin_send(attempt, permit, &mut fixture.phase);
        assert_eq!(refused, Err(StartRefusal::NoPermit));
    }
    assert_eq!(fixture.phase.error_outcome(true), AnswerOutcome::NotRun);
    let permit = spent_permit(&stage());
    assert!(
        fixture
            .tracker
            .begin_send(attempt, Some(&permit), &mut fixture.phase)
            .is_ok()
    );
    assert_eq!(
        fixture.phase.error_outcome(true),
        AnswerOutcome::OutcomeUnknown
    );
}

#[test]
fn non_idempotent_stage_is_not_retried_after_the_first_byte() {
    let via = number(1);
    let failed = StageEvent::Failed { via };
    let ends = [lost(1), failed, StageEvent::BadInput { via }];
    let unknown = AnswerOutcome::OutcomeUnknown;
    let outcomes = [unknown, unknown, AnswerOutcome::Failed];
    for (event, outcome) in ends.into_iter().zip(outcomes) {
        let mut fixture = StageFixture::new(AnswerKind::Unary, false);
        let attempt = fixture.tracker.start().unwrap().attempt;
        let permit = spent_permit(&stage());
        let _token = fixture
            .tracker
            .begin_send(attempt, Some(&permit), &mut fixture.phase)
            .unwrap();
        assert_eq!(fixture.tracker.start_hedge(), Err(StartRefusal::MayHaveRun));
        let step = fixture.handle(event);
        assert_eq!(step.cancels, []);
        let failure = assert_matches!(step.verdict, StageVerdict::GiveUp(failure) => failure);
        assert_eq!(fixture.tracker.start(), Err(StartRefusal::Ended));
        assert_eq!(fixture.phase.stage_failed(&failure, "").outcome(), outcome);
    }
}

#[test]
fn non_idempotent_stage_is_retried_after_a_refusal() {
    let mut fixture = StageFixture::new(AnswerKind::Unary, false);
    let attempt = fixture.tracker.start().unwrap().attempt;
    let permit = spent_permit(&stage());
    let _token = fixture
        .tracker
        .begin_send(attempt, Some(&permit), &mut fixture.phase)
        .unwrap();
    assert_eq!(fixture.verdict(refused(1)), StageVerdict::Retry);
    assert_eq!(fixture.phase.error_outcome(true), AnswerOutcome::NotRun);
}

#[test]
fn failure_after_an_effect_is_outcome_unknown() {
    let mut phase = RequestPhase::new(request());
    phase.send(Some(&spent_permit(&stage())));
    phase.send(None);
    phase.refused(refusal());
    let failure = StageFailure {
        outcome_known: true,
        code: ErrorCode::StageFailed,
        retry_after: None,
    };
    let outcome = phase.stage_failed(&failure, "later stage failed").outcome();
    assert_eq!(outcome, AnswerOutcome::OutcomeUnknown);
}

#[test]
fn statuses_are_classified_as_the_protocol_defines() {
    assert_eq!(AnswerClass::of_status(200), AnswerClass::Success);
    assert_eq!(AnswerClass::of_status(404), AnswerClass::BadInput);
    assert_matches!(AnswerClass::of_status(429), AnswerClass::Refused(_));
    assert_matches!(AnswerClass::of_status(503), AnswerClass::Refused(_));
    assert_eq!(AnswerClass::of_status(500), AnswerClass::Failed);
    for status in [100, 302, 502, 504] {
        assert_eq!(AnswerClass::of_status(status), AnswerClass::Unclear);
    }
}
