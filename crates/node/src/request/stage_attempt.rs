use std::{future::Future, sync::Arc};

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::{AsyncBufReadExt, FutureExt, StreamExt, io::Lines};
use http_types::{Body, Request, url::ParseError};
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{AttemptNumber, RequestId, StageName},
    policy::{QuantileSketch, health::CallOutcome, routing::InFlightGuard},
    protocol::{LoadReport, TargetChunk, headers},
    records::StageSpec,
    request::{AnswerClass, AnswerLabel, SendToken, StageChunk, StageEvent},
    units::ByteSize,
};

use super::{
    CallerRequest, outcome_query::OutcomeQuery, progress::await_progress,
    stream_budget::StreamBudget,
};
use crate::{
    connection::{CallError, CallResponse, ClientConnection},
    process::{NodeState, trace::HopSpan},
};

/// One attempt at a stage, run as a task that reports to its stage.
#[derive(Debug)]
pub(super) struct StageAttempt {
    pub(super) node: Arc<NodeState>,
    pub(super) request: CallerRequest,
    pub(super) stage: StageSpec,
    pub(super) token: SendToken,
    pub(super) flight: InFlightGuard,
    pub(super) span: HopSpan,
    pub(super) timeout: TimeSpan,
    pub(super) events: Sender<StageEvent>,
    /// Key under which the target tells what became of the call.
    pub(super) outcome_key: Option<String>,
    /// When to stop asking for it.
    pub(super) give_up_at: ClockTime,
}

/// How an attempt ended, for the stage and for the health of the target.
struct AttemptEnd {
    event: StageEvent,
    outcome: CallOutcome,
}

impl StageAttempt {
    /// Sends the call and reports what comes of it.
    pub(super) async fn run(self, connection: ClientConnection, call: Result<Request, ParseError>) {
        let started = self.node.now();
        let end = match call {
            Ok(call) => self.exchange(connection, call).await,
            Err(error) => self.broken(&error.to_string()),
        };
        let end = self.ask_for_lost(end).await;
        let now = self.node.now();
        self.count_cost(now.since(started));
        self.count_end(&end);
        let ejected = self.flight.vm().target.clone();
        if self.flight.finish(end.outcome, now) {
            slog::warn!(self.node.log, "health: Target ejected."; "target" => %ejected);
        }
        self.span.end();
        // The stage may have ended meanwhile.
        let _ = self.events.send(end.event).await;
    }

    async fn exchange(&self, connection: ClientConnection, call: Request) -> AttemptEnd {
        let node = Arc::clone(&self.node);
        let sent = node.now();
        let exchange = node.clients.exchange(connection, call, self.timeout);
        let response = match self.watched(self.expected_head(), exchange).await {
            Some(Ok(response)) => response,
            Some(Err(error)) => return self.lost(&error),
            None => return self.stalled(),
        };
        let stats = self.flight.pool().stats();
        stats.first_byte.record(node.now().since(sent));
        if let Some(report) = response.parsed_header::<LoadReport>(headers::LOAD) {
            self.flight.report(&report, node.now());
        }
        match AnswerClass::of_status(response.status().into()) {
            AnswerClass::Success if self.stage.kind.is_generate() => {
                self.read_stream(response).await
            }
            AnswerClass::Success => self.read_whole(response).await,
            class => self.read_failure(response, class).await,
        }
    }

    /// Asks the target for the answer if it was lost, or if the call failed
    /// and may have had its effect before.
    async fn ask_for_lost(&self, end: AttemptEnd) -> AttemptEnd {
        let lost = matches!(
            end.event,
            StageEvent::ConnectionLost { .. }
                | StageEvent::TimedOut { .. }
                | StageEvent::Failed { .. }
        );
        let Some(key) = self.outcome_key.clone().filter(|_| lost) else {
            return end;
        };
        let query = OutcomeQuery {
            node: Arc::clone(&self.node),
            target: self.flight.vm().address,
            key,
            until: self.give_up_at,
            limit: self.request.pipeline.answer_limit,
        };
        let Some(body) = query.ask().await else {
            return end;
        };
        let via = self.token.attempt();
        let label = self.label(self.request.id.clone(), via);
        AttemptEnd {
            event: StageEvent::UnaryResult { via, label, body },
            ..end
        }
    }

    async fn read_whole(&self, response: CallResponse<'_>) -> AttemptEnd {
        let Some(label) = read_label(&response) else {
            return self.broken("the answer has no valid label");
        };
        let limit = self.request.pipeline.answer_limit;
        match response.into_body(limit, self.timeout).await {
            Ok(body) => AttemptEnd {
                event: StageEvent::UnaryResult {
                    via: self.token.attempt(),
                    label,
                    body,
                },
                outcome: CallOutcome::Answered,
            },
            Err(error) => self.broken(&error.to_string()),
        }
    }

    async fn read_failure(&self, response: CallResponse<'_>, class: AnswerClass) -> AttemptEnd {
        let via = self.token.attempt();
        let retry_after = response
            .parsed_header(headers::RETRY_AFTER_MS)
            .map(TimeSpan::from_millis);
        self.span.fail(response.status());
        // The body says nothing that the status doesn't; reading it only
        // keeps the connection.
        let _ = response
            .into_body(ERROR_BODY_BYTES, ERROR_BODY_TIMEOUT)
            .await;
        match class {
            AnswerClass::Refused(refusal) => AttemptEnd {
                event: StageEvent::Refused {
                    via,
                    refusal,
                    retry_after,
                },
                outcome: CallOutcome::Refused,
            },
            AnswerClass::BadInput => AttemptEnd {
                event: StageEvent::BadInput { via },
                outcome: CallOutcome::Answered,
            },
            AnswerClass::Failed => AttemptEnd {
                event: StageEvent::Failed { via },
                outcome: CallOutcome::Failed,
            },
            AnswerClass::Unclear | AnswerClass::Success => AttemptEnd {
                event: StageEvent::ConnectionLost { via },
                outcome: CallOutcome::Failed,
            },
        }
    }

    async fn read_stream(&self, mut response: CallResponse<'_>) -> AttemptEnd {
        let body = response.response_mut().take_body();
        let mut lines = body.lines();
        let mut budget = StreamBudget::new(self.request.pipeline.answer_limit);
        loop {
            let line = match self.next_line(&mut lines).await {
                Ok(line) => line,
                Err(end) => return end,
            };
            if !budget.take(line.len()) {
                return self.broken("the stream is larger than allowed");
            }
            let Ok(chunk) = serde_json::from_str::<TargetChunk>(&line) else {
                return self.broken("a line of the stream is not valid");
            };
            match self.read_chunk(chunk) {
                ChunkNews::Event(event) => {
                    if self.events.send(event).await.is_err() {
                        return AttemptEnd {
                            event: StageEvent::CallerGone,
                            outcome: CallOutcome::Cancelled,
                        };
                    }
                }
                ChunkNews::Last(end) => {
                    drain(&mut lines).await;
                    response.finish();
                    return end;
                }
            }
        }
    }

    async fn next_line(&self, lines: &mut Lines<Body>) -> Result<String, AttemptEnd> {
        let started = self.node.now();
        let gaps = &self.flight.pool().stats().chunk_interval;
        let expected = learned(gaps, CHUNK_SHARE);
        match self.watched(expected, lines.next()).await {
            Some(Some(Ok(line))) => {
                gaps.record(self.node.now().since(started));
                Ok(line)
            }
            Some(Some(Err(error))) => Err(self.broken(&error.to_string())),
            Some(None) => Err(self.broken("the stream ended without an end")),
            None => Err(self.stalled()),
        }
    }

    /// Awaits a step of the call. The silence of a non-idempotent call proves
    /// nothing and gains nothing, so its answer is awaited until the timeout.
    async fn watched<Work>(&self, expected: Option<TimeSpan>, work: Work) -> Option<Work::Output>
    where
        Work: Future,
    {
        if self.stage.idempotent {
            let target = self.flight.vm().address;
            return await_progress(&self.node, target, expected, work).await;
        }
        let late = async {
            Timer::after(self.timeout.into()).await;
            None
        };
        let step = async { Some(work.await) };
        step.or(late).await
    }

    /// Time in which the head of the answer is usually there.
    fn expected_head(&self) -> Option<TimeSpan> {
        learned(&self.flight.pool().stats().first_byte, HEAD_SHARE)
    }

    fn read_chunk(&self, chunk: TargetChunk) -> ChunkNews {
        let via = self.token.attempt();
        match chunk {
            TargetChunk::Tokens {
                request,
                attempt,
                offset,
                tokens,
                text,
            } => ChunkNews::Event(StageEvent::Chunk(StageChunk {
                via,
                label: self.label(request, attempt),
                offset,
                tokens,
                text: Bytes::from(text),
            })),
            TargetChunk::End {
                request,
                attempt,
                tokens,
            } => ChunkNews::Last(AttemptEnd {
                event: StageEvent::End {
                    via,
                    label: self.label(request, attempt),
                    tokens,
                },
                outcome: CallOutcome::Answered,
            }),
            TargetChunk::Failed { message, .. } => {
                self.span.fail(message);
                ChunkNews::Last(AttemptEnd {
                    event: StageEvent::Failed { via },
                    outcome: CallOutcome::Failed,
                })
            }
        }
    }

    fn label(&self, request: RequestId, attempt: AttemptNumber) -> AnswerLabel {
        AnswerLabel {
            request,
            stage: self.stage.name.clone(),
            attempt,
        }
    }

    fn lost(&self, error: &CallError) -> AttemptEnd {
        match error {
            CallError::Timeout => self.stalled(),
            _ => self.broken(&error.to_string()),
        }
    }

    fn broken(&self, reason: &str) -> AttemptEnd {
        self.span.fail(reason);
        AttemptEnd {
            event: StageEvent::ConnectionLost {
                via: self.token.attempt(),
            },
            outcome: CallOutcome::Failed,
        }
    }

    fn stalled(&self) -> AttemptEnd {
        self.span.fail("no progress");
        // Connections to a target that has gone silent are not used again.
        self.node.clients.close_idle(self.flight.vm().address);
        AttemptEnd {
            event: StageEvent::TimedOut {
                via: self.token.attempt(),
            },
            outcome: CallOutcome::Stalled,
        }
    }

    fn count_cost(&self, span: TimeSpan) {
        let pipeline = self.request.pipeline.name.as_str();
        let cost = span.as_secs_f64() * self.stage.cost_weight.get();
        let metric = &self.node.metrics.stage_cost;
        metric
            .with_label_values(&[pipeline, self.stage.name.as_str()])
            .inc_by(cost);
    }

    fn count_end(&self, end: &AttemptEnd) {
        let result = match end.outcome {
            CallOutcome::Answered => "answered",
            CallOutcome::Refused => "refused",
            CallOutcome::Failed => "failed",
            CallOutcome::Stalled => "stalled",
            CallOutcome::Cancelled => "cancelled",
        };
        let metric = &self.node.metrics.attempts;
        metric
            .with_label_values(&[self.stage.pool.as_str(), result])
            .inc();
        self.span.set("result", result);
    }
}

/// Largest error body that is read to keep a connection.
const ERROR_BODY_BYTES: ByteSize = ByteSize::from_kib(64);
/// Time for reading an error body.
const ERROR_BODY_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);

/// Share of the answers whose head comes within the expected time.
const HEAD_SHARE: f64 = 0.99;
/// Share of the pieces of a stream that come within the expected time.
const CHUNK_SHARE: f64 = 0.999;
/// Observations before a learned time is believed.
const LEARNED_SAMPLES: u32 = 20;

/// A learned time, once there are enough observations.
fn learned(sketch: &QuantileSketch, share: f64) -> Option<TimeSpan> {
    if sketch.len() < LEARNED_SAMPLES {
        return None;
    }
    sketch.quantile(share)
}

enum ChunkNews {
    Event(StageEvent),
    Last(AttemptEnd),
}

/// Reads what follows the last line, so that the connection can be used again.
async fn drain(lines: &mut Lines<Body>) {
    let late = async {
        Timer::after(ERROR_BODY_TIMEOUT.into()).await;
    };
    let rest = async { while lines.next().await.is_some() {} };
    rest.or(late).await;
}

fn read_label(response: &CallResponse<'_>) -> Option<AnswerLabel> {
    Some(AnswerLabel {
        request: response.parsed_header::<RequestId>(headers::REQUEST_ID)?,
        stage: response.parsed_header::<StageName>(headers::STAGE)?,
        attempt: response.parsed_header::<AttemptNumber>(headers::ATTEMPT)?,
    })
}

/// Time left until a deadline, at least a millisecond.
pub(super) fn time_left(now: ClockTime, deadline: ClockTime) -> TimeSpan {
    now.until(deadline).max(TimeSpan::from_millis(1))
}
