//! Random sequences of events on a stage: concurrent attempts, lost connections,
//! and late, duplicate or mislabelled results.

use std::cell::Cell;

use bytes::Bytes;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use verbenahub_core::{
    ids::{AttemptNumber, RequestId, StageName},
    protocol::AnswerOutcome,
    request::{
        AnswerClass, AnswerKind, AnswerLabel, RequestPhase, StageChunk, StageEvent, StagePolicy,
        StageTracker, StageVerdict,
    },
};

/// Number of tokens of every complete stream.
const TOTAL: u64 = 12;
const ATTEMPT_LIMIT: u32 = 5;
const CASES: u32 = 20_000;

/// What a target or its connection does next.
#[derive(Clone, Copy, Debug)]
enum TargetAction {
    Next(u64),
    Repeat,
    Skip(u64),
    Overlap,
    Empty,
    OtherRequest,
    OtherStage,
    OtherAttempt,
    End,
    UnaryResult,
    Failed,
    BadInput,
    Refused,
    NotConnected,
    Lost,
    TimedOut,
}

#[derive(Clone, Copy, Debug)]
enum StreamAction {
    Start,
    Hedge,
    Send(usize),
    Target(usize, TargetAction),
    Deadline,
}

#[derive(Clone, Copy, Debug, Default)]
struct StreamStats {
    finished: u32,
    resumed: u32,
    cancelled: u32,
    ignored: u32,
    given_up: u32,
}

/// One attempt as seen by its target.
#[derive(Clone, Copy)]
struct TargetAttempt {
    number: AttemptNumber,
    position: u64,
    sent: bool,
    /// Whether results of it must not be accepted any more.
    closed: bool,
}

struct StreamSimulation {
    tracker: StageTracker,
    phase: RequestPhase,
    kind: AnswerKind,
    attempts: Vec<TargetAttempt>,
    /// Number of calls that a target may have run.
    executions: u32,
    delivered: Vec<u8>,
    ended: bool,
    stats: StreamStats,
}

fn target_action() -> impl Strategy<Value = TargetAction> {
    prop_oneof![
        40 => (1_u64..6).prop_map(TargetAction::Next),
        3 => Just(TargetAction::Repeat),
        1 => (1_u64..3).prop_map(TargetAction::Skip),
        1 => Just(TargetAction::Overlap),
        1 => Just(TargetAction::Empty),
        1 => Just(TargetAction::OtherRequest),
        1 => Just(TargetAction::OtherStage),
        1 => Just(TargetAction::OtherAttempt),
        6 => Just(TargetAction::End),
        4 => Just(TargetAction::UnaryResult),
        1 => Just(TargetAction::Failed),
        1 => Just(TargetAction::BadInput),
        2 => Just(TargetAction::Refused),
        2 => Just(TargetAction::NotConnected),
        2 => Just(TargetAction::Lost),
        2 => Just(TargetAction::TimedOut),
    ]
}

/// Index of an attempt, counted back from the latest.
fn recent_attempt() -> impl Strategy<Value = usize> {
    prop_oneof![8 => Just(0_usize), 2 => Just(1), 1 => 2_usize..4]
}

fn stream_action() -> impl Strategy<Value = StreamAction> {
    prop_oneof![
        8 => Just(StreamAction::Start),
        3 => Just(StreamAction::Hedge),
        12 => recent_attempt().prop_map(StreamAction::Send),
        40 => (recent_attempt(), target_action())
            .prop_map(|(attempt, action)| StreamAction::Target(attempt, action)),
        1 => Just(StreamAction::Deadline),
    ]
}

/// Text of tokens that encodes their owner and their offsets.
fn text_of(owner: &str, offset: u64, tokens: u64) -> Bytes {
    let tokens = offset..offset + tokens;
    let texts: Vec<String> = tokens.map(|token| format!("{owner}:{token:03};")).collect();
    texts.concat().into()
}

fn stage() -> StageName {
    StageName::new("draft").unwrap()
}

fn label_of(request: &str, stage: &str, attempt: AttemptNumber) -> AnswerLabel {
    AnswerLabel {
        request: RequestId::new(request).unwrap(),
        stage: StageName::new(stage).unwrap(),
        attempt,
    }
}

fn chunk_of(attempt: &TargetAttempt, offset: u64, tokens: u64) -> StageEvent {
    StageEvent::Chunk(StageChunk {
        via: attempt.number,
        label: label_of("r1", "draft", attempt.number),
        offset,
        tokens,
        text: text_of(&owner_of(attempt.number), offset, tokens),
    })
}

/// Owner in the text of the tokens of one attempt.
fn owner_of(attempt: AttemptNumber) -> String {
    format!("r1-{attempt}")
}

impl StreamSimulation {
    fn new(kind: AnswerKind) -> Self {
        let request = RequestId::new("r1").unwrap();
        let policy = StagePolicy {
            kind,
            idempotent: true,
            attempt_limit: ATTEMPT_LIMIT,
        };
        Self {
            tracker: StageTracker::new(request.clone(), stage(), policy),
            phase: RequestPhase::new(request),
            kind,
            attempts: Vec::new(),
            executions: 0,
            delivered: Vec::new(),
            ended: false,
            stats: StreamStats::default(),
        }
    }

    fn apply(&mut self, action: StreamAction) {
        match action {
            StreamAction::Start | StreamAction::Hedge => self.start(action),
            StreamAction::Send(index) => self.send(index),
            StreamAction::Target(index, action) => self.apply_to_target(index, action),
            StreamAction::Deadline => self.handle(StageEvent::DeadlinePassed),
        }
        let not_run = self.phase.error_outcome(true) == AnswerOutcome::NotRun;
        assert_eq!(
            not_run,
            self.executions == 0,
            "not_run must be possible exactly while no target can have run a call"
        );
    }

    fn start(&mut self, action: StreamAction) {
        let plan = match action {
            StreamAction::Hedge => self.tracker.start_hedge(),
            _ => self.tracker.start(),
        };
        let Ok(plan) = plan else { return };
        assert!(!self.ended, "an attempt started after the end");
        assert_eq!(plan.resume_offset, self.tokens());
        self.stats.resumed += u32::from(plan.resume_offset > 0);
        self.attempts.push(TargetAttempt {
            number: plan.attempt,
            position: plan.resume_offset,
            sent: false,
            closed: false,
        });
    }

    fn send(&mut self, steps_back: usize) {
        let Some(index) = self.attempts.len().checked_sub(steps_back + 1) else {
            return;
        };
        let attempt = &mut self.attempts[index];
        let token = self
            .tracker
            .begin_send(attempt.number, None, &mut self.phase);
        if token.is_ok() {
            attempt.sent = true;
            self.executions += 1;
        }
    }

    fn apply_to_target(&mut self, steps_back: usize, action: TargetAction) {
        let Some(index) = self.attempts.len().checked_sub(steps_back + 1) else {
            return;
        };
        let attempt = self.attempts[index];
        let via = attempt.number;
        let remaining = TOTAL - attempt.position;
        let event = match action {
            TargetAction::Next(2..) if self.kind == AnswerKind::Unary => {
                return self.apply_to_target(steps_back, TargetAction::UnaryResult);
            }
            TargetAction::Next(_) if remaining == 0 => {
                return self.apply_to_target(steps_back, TargetAction::End);
            }
            TargetAction::Next(tokens) => {
                let tokens = tokens.min(remaining);
                self.attempts[index].position += tokens;
                chunk_of(&attempt, attempt.position, tokens)
            }
            TargetAction::Repeat => chunk_of(&attempt, 0, attempt.position),
            TargetAction::Skip(tokens) => {
                let skipped = (attempt.position + tokens).min(TOTAL - 1);
                chunk_of(&attempt, skipped, TOTAL - skipped)
            }
            TargetAction::Overlap => {
                let offset = attempt.position.saturating_sub(1);
                chunk_of(&attempt, offset, TOTAL - offset)
            }
            TargetAction::Empty => StageEvent::Chunk(StageChunk {
                via,
                label: label_of("r1", "draft", via),
                offset: attempt.position,
                tokens: 0,
                text: text_of("xx", 0, 1),
            }),
            TargetAction::OtherRequest => self.mislabelled_result(&attempt, "r2", "draft", via),
            TargetAction::OtherStage => self.mislabelled_result(&attempt, "r1", "rerank", via),
            TargetAction::OtherAttempt => {
                self.mislabelled_result(&attempt, "r1", "draft", via.next())
            }
            TargetAction::End => StageEvent::End {
                via,
                label: label_of("r1", "draft", via),
                tokens: TOTAL,
            },
            TargetAction::UnaryResult => StageEvent::UnaryResult {
                via,
                label: label_of("r1", "draft", via),
                body: text_of(&owner_of(via), 0, TOTAL),
            },
            TargetAction::Failed => StageEvent::Failed { via },
            TargetAction::BadInput => StageEvent::BadInput { via },
            TargetAction::Refused => return self.refuse(&attempt),
            TargetAction::NotConnected => StageEvent::NotConnected { via },
            TargetAction::Lost => StageEvent::ConnectionLost { via },
            TargetAction::TimedOut => StageEvent::TimedOut { via },
        };
        self.handle(event);
        let ends = matches!(
            action,
            TargetAction::Failed
                | TargetAction::BadInput
                | TargetAction::Lost
                | TargetAction::TimedOut
        );
        if ends {
            self.close(&[via]);
        }
    }

    fn refuse(&mut self, attempt: &TargetAttempt) {
        let AnswerClass::Refused(refusal) = AnswerClass::of_status(429) else {
            unreachable!("429 is a refusal");
        };
        let event = StageEvent::Refused {
            via: attempt.number,
            refusal,
            retry_after: None,
        };
        let ignored = self.stats.ignored;
        self.handle(event);
        if attempt.sent && self.stats.ignored == ignored {
            self.executions -= 1;
        }
    }

    /// A result at the expected offset, but with another label and text.
    fn mislabelled_result(
        &self,
        attempt: &TargetAttempt,
        request: &str,
        stage: &str,
        number: AttemptNumber,
    ) -> StageEvent {
        let via = attempt.number;
        let label = label_of(request, stage, number);
        let offset = self.tracker.tokens();
        match self.kind {
            AnswerKind::Unary => StageEvent::UnaryResult {
                via,
                label,
                body: text_of("xx", 0, TOTAL),
            },
            AnswerKind::Stream => StageEvent::Chunk(StageChunk {
                via,
                label,
                offset,
                tokens: 1,
                text: text_of("xx", offset, 1),
            }),
        }
    }

    fn handle(&mut self, event: StageEvent) {
        let via = via_of(&event);
        let step = self.tracker.handle(event, &mut self.phase);
        self.stats.cancelled += u32::try_from(step.cancels.len()).unwrap();
        match step.verdict {
            StageVerdict::Deliver {
                offset,
                tokens,
                text,
            } => {
                self.accept(via);
                assert_eq!(text, text_of(&owner_of(via), offset, tokens));
                assert_eq!(offset, self.tokens(), "tokens are missing or duplicated");
                self.delivered.extend_from_slice(&text);
            }
            StageVerdict::Finish(output) => {
                self.accept(via);
                assert!(
                    !step.cancels.contains(&via),
                    "the attempt with the accepted result is cancelled"
                );
                self.ended = true;
                self.stats.finished += 1;
                self.check_output(via, &output.body);
            }
            StageVerdict::GiveUp(_) => {
                assert!(!self.ended, "the stage ended twice");
                self.ended = true;
                self.stats.given_up += 1;
            }
            StageVerdict::Ignore(_) => self.stats.ignored += 1,
            StageVerdict::Wait | StageVerdict::Retry => {}
        }
        self.close(&step.cancels);
    }

    /// Records that a result of an attempt was accepted, after which no result
    /// of another attempt may be accepted.
    fn accept(&mut self, via: AttemptNumber) {
        assert!(
            !self.ended,
            "a result was accepted after the stage had ended"
        );
        for attempt in &mut self.attempts {
            if attempt.number == via {
                assert!(!attempt.closed, "a result of a closed attempt was accepted");
            } else {
                attempt.closed = true;
            }
        }
    }

    fn close(&mut self, numbers: &[AttemptNumber]) {
        for attempt in &mut self.attempts {
            attempt.closed |= numbers.contains(&attempt.number);
        }
    }

    fn tokens(&self) -> u64 {
        let ends = self.delivered.iter().filter(|byte| **byte == b';');
        ends.count() as u64
    }

    fn check_output(&self, via: AttemptNumber, body: &Bytes) {
        match self.kind {
            AnswerKind::Unary => assert_eq!(*body, text_of(&owner_of(via), 0, TOTAL)),
            AnswerKind::Stream => {
                assert_eq!(*body, self.delivered);
                assert_eq!(self.tokens(), TOTAL, "the stream is not complete");
            }
        }
    }
}

/// The attempt that an event concerns, number 0 for an event of the stage.
fn via_of(event: &StageEvent) -> AttemptNumber {
    match event {
        StageEvent::Chunk(chunk) => chunk.via,
        StageEvent::UnaryResult { via, .. }
        | StageEvent::End { via, .. }
        | StageEvent::Failed { via }
        | StageEvent::BadInput { via }
        | StageEvent::Refused { via, .. }
        | StageEvent::NotConnected { via }
        | StageEvent::ConnectionLost { via }
        | StageEvent::TimedOut { via } => *via,
        StageEvent::DeadlinePassed | StageEvent::CallerGone => AttemptNumber::ZERO,
    }
}

fn run_streams(kind: AnswerKind, seed: u64) -> StreamStats {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    };
    let total = Cell::new(StreamStats::default());
    let result = TestRunner::new(config).run(&vec(stream_action(), 5..80), |actions| {
        let mut simulation = StreamSimulation::new(kind);
        for action in actions {
            simulation.apply(action);
        }
        let mut stats = total.get();
        stats.finished += simulation.stats.finished;
        stats.resumed += simulation.stats.resumed;
        stats.cancelled += simulation.stats.cancelled;
        stats.ignored += simulation.stats.ignored;
        stats.given_up += simulation.stats.given_up;
        total.set(stats);
        Ok(())
    });
    result.unwrap();
    println!("{:?}", total.get());
    total.get()
}

#[test]
fn streams_are_complete_and_in_order_under_any_interleaving() {
    let stats = run_streams(AnswerKind::Stream, 77);
    assert!(stats.finished > 500, "too few complete streams: {stats:?}");
    assert!(stats.resumed > 500, "too few resumed streams: {stats:?}");
    assert!(
        stats.cancelled > 500,
        "too few cancelled attempts: {stats:?}"
    );
    assert!(stats.ignored > 500, "too few stale results: {stats:?}");
    assert!(
        stats.given_up > 500,
        "too few stages without a result: {stats:?}"
    );
}

#[test]
fn unary_results_are_accepted_once_under_any_interleaving() {
    let stats = run_streams(AnswerKind::Unary, 78);
    assert!(stats.finished > 500, "too few results: {stats:?}");
    assert!(
        stats.cancelled > 500,
        "too few cancelled attempts: {stats:?}"
    );
    assert!(stats.ignored > 500, "too few stale results: {stats:?}");
}
