//! Streams and whole results of racing, broken, late and cross-wired attempts.

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

/// Tokens of every whole stream.
const TOTAL: u64 = 12;
const ATTEMPT_LIMIT: u32 = 5;
const CASES: u32 = 20_000;

/// What a target, or the way from it, does next.
#[derive(Clone, Copy, Debug)]
enum TargetMove {
    Next(u64),
    Again,
    Skip(u64),
    Overlap,
    Empty,
    OtherRequest,
    OtherStage,
    OtherAttempt,
    End,
    Whole,
    Failed,
    BadInput,
    Refused,
    NotConnected,
    Lost,
    TimedOut,
}

#[derive(Clone, Copy, Debug)]
enum StreamMove {
    Start,
    Hedge,
    Send(usize),
    Target(usize, TargetMove),
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

/// One attempt, as its target sees it.
#[derive(Clone, Copy)]
struct TargetAttempt {
    number: AttemptNumber,
    position: u64,
    sent: bool,
    /// Whether nothing that comes of it may be accepted any more.
    closed: bool,
}

struct StreamWorld {
    tracker: StageTracker,
    phase: RequestPhase,
    kind: AnswerKind,
    attempts: Vec<TargetAttempt>,
    /// Calls that a target may have run.
    executions: u32,
    delivered: Vec<u8>,
    ended: bool,
    stats: StreamStats,
}

fn target_move() -> impl Strategy<Value = TargetMove> {
    prop_oneof![
        40 => (1_u64..6).prop_map(TargetMove::Next),
        3 => Just(TargetMove::Again),
        1 => (1_u64..3).prop_map(TargetMove::Skip),
        1 => Just(TargetMove::Overlap),
        1 => Just(TargetMove::Empty),
        1 => Just(TargetMove::OtherRequest),
        1 => Just(TargetMove::OtherStage),
        1 => Just(TargetMove::OtherAttempt),
        6 => Just(TargetMove::End),
        4 => Just(TargetMove::Whole),
        1 => Just(TargetMove::Failed),
        1 => Just(TargetMove::BadInput),
        2 => Just(TargetMove::Refused),
        2 => Just(TargetMove::NotConnected),
        2 => Just(TargetMove::Lost),
        2 => Just(TargetMove::TimedOut),
    ]
}

/// Counts attempts from the latest back.
fn latest_first() -> impl Strategy<Value = usize> {
    prop_oneof![8 => Just(0_usize), 2 => Just(1), 1 => 2_usize..4]
}

fn stream_move() -> impl Strategy<Value = StreamMove> {
    prop_oneof![
        8 => Just(StreamMove::Start),
        3 => Just(StreamMove::Hedge),
        12 => latest_first().prop_map(StreamMove::Send),
        40 => (latest_first(), target_move())
            .prop_map(|(attempt, next)| StreamMove::Target(attempt, next)),
        1 => Just(StreamMove::Deadline),
    ]
}

/// Text of tokens that shows whose they are and where they belong.
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

/// Mark of the tokens of one attempt at the request.
fn owner_of(attempt: AttemptNumber) -> String {
    format!("r1-{attempt}")
}

impl StreamWorld {
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

    fn apply(&mut self, next: StreamMove) {
        match next {
            StreamMove::Start | StreamMove::Hedge => self.start(next),
            StreamMove::Send(index) => self.send(index),
            StreamMove::Target(index, next) => self.act(index, next),
            StreamMove::Deadline => self.handle(StageEvent::DeadlinePassed),
        }
        let not_run = self.phase.error_outcome(true) == AnswerOutcome::NotRun;
        assert_eq!(
            not_run,
            self.executions == 0,
            "not_run does not match the sends"
        );
    }

    fn start(&mut self, next: StreamMove) {
        let plan = match next {
            StreamMove::Hedge => self.tracker.start_hedge(),
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

    fn send(&mut self, back: usize) {
        let Some(index) = self.attempts.len().checked_sub(back + 1) else {
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

    fn act(&mut self, back: usize, next: TargetMove) {
        let Some(index) = self.attempts.len().checked_sub(back + 1) else {
            return;
        };
        let attempt = self.attempts[index];
        let via = attempt.number;
        let left = TOTAL - attempt.position;
        let event = match next {
            TargetMove::Next(2..) if self.kind == AnswerKind::Unary => {
                return self.act(back, TargetMove::Whole);
            }
            TargetMove::Next(_) if left == 0 => return self.act(back, TargetMove::End),
            TargetMove::Next(tokens) => {
                let tokens = tokens.min(left);
                self.attempts[index].position += tokens;
                chunk_of(&attempt, attempt.position, tokens)
            }
            TargetMove::Again => chunk_of(&attempt, 0, attempt.position),
            TargetMove::Skip(tokens) => {
                let skipped = (attempt.position + tokens).min(TOTAL - 1);
                chunk_of(&attempt, skipped, TOTAL - skipped)
            }
            TargetMove::Overlap => {
                let offset = attempt.position.saturating_sub(1);
                chunk_of(&attempt, offset, TOTAL - offset)
            }
            TargetMove::Empty => StageEvent::Chunk(StageChunk {
                via,
                label: label_of("r1", "draft", via),
                offset: attempt.position,
                tokens: 0,
                text: text_of("xx", 0, 1),
            }),
            TargetMove::OtherRequest => self.foreign(&attempt, "r2", "draft", via),
            TargetMove::OtherStage => self.foreign(&attempt, "r1", "rerank", via),
            TargetMove::OtherAttempt => self.foreign(&attempt, "r1", "draft", via.next()),
            TargetMove::End => StageEvent::End {
                via,
                label: label_of("r1", "draft", via),
                tokens: TOTAL,
            },
            TargetMove::Whole => StageEvent::UnaryResult {
                via,
                label: label_of("r1", "draft", via),
                body: text_of(&owner_of(via), 0, TOTAL),
            },
            TargetMove::Failed => StageEvent::Failed { via },
            TargetMove::BadInput => StageEvent::BadInput { via },
            TargetMove::Refused => return self.refuse(&attempt),
            TargetMove::NotConnected => StageEvent::NotConnected { via },
            TargetMove::Lost => StageEvent::ConnectionLost { via },
            TargetMove::TimedOut => StageEvent::TimedOut { via },
        };
        self.handle(event);
        let ends = matches!(
            next,
            TargetMove::Failed | TargetMove::BadInput | TargetMove::Lost | TargetMove::TimedOut
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

    /// A result at the right place, but with the label and text of another.
    fn foreign(
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
                assert_eq!(offset, self.tokens(), "tokens are missing or doubled");
                self.delivered.extend_from_slice(&text);
            }
            StageVerdict::Finish(output) => {
                self.accept(via);
                assert!(!step.cancels.contains(&via), "the winner is cancelled");
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

    /// Something was accepted of an attempt; all others are beaten.
    fn accept(&mut self, via: AttemptNumber) {
        assert!(!self.ended, "something was accepted after the end");
        for attempt in &mut self.attempts {
            if attempt.number == via {
                assert!(
                    !attempt.closed,
                    "something was accepted of a closed attempt"
                );
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
                assert_eq!(self.tokens(), TOTAL, "the stream is not whole");
            }
        }
    }
}

/// The attempt that an event is about; number 0 for the deadline.
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
    let result = TestRunner::new(config).run(&vec(stream_move(), 5..80), |moves| {
        let mut world = StreamWorld::new(kind);
        for next in moves {
            world.apply(next);
        }
        let mut stats = total.get();
        stats.finished += world.stats.finished;
        stats.resumed += world.stats.resumed;
        stats.cancelled += world.stats.cancelled;
        stats.ignored += world.stats.ignored;
        stats.given_up += world.stats.given_up;
        total.set(stats);
        Ok(())
    });
    result.unwrap();
    println!("{:?}", total.get());
    total.get()
}

#[test]
fn streams_are_whole_and_in_order_under_any_interleaving() {
    let stats = run_streams(AnswerKind::Stream, 77);
    assert!(stats.finished > 500, "too few whole streams: {stats:?}");
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
fn whole_results_are_taken_once_under_any_interleaving() {
    let stats = run_streams(AnswerKind::Unary, 78);
    assert!(stats.finished > 500, "too few results: {stats:?}");
    assert!(
        stats.cancelled > 500,
        "too few cancelled attempts: {stats:?}"
    );
    assert!(stats.ignored > 500, "too few stale results: {stats:?}");
}
