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

/// One attempt at a stage. Runs as a task and reports events to the stage.
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
    /// Key with which the outcome of the call can be queried at the target.
    pub(super) outcome_key: Option<String>,
    /// Time at which queries for the outcome stop.
    pub(super) result_deadline: ClockTime,
}

/// End of an attempt: the event for the stage and the outcome for the health of
/// the target.
struct AttemptEnd {
    event: StageEvent,
    outcome: CallOutcome,
}

impl StageAttempt {
    /// Sends the call and reports its results.
    pub(super) async fn run(self, connection: ClientConnection, call: Result<Request, ParseError>) {
        let started = self.node.now();
        let end = match call {
            Ok(call) => self.exchange(connection, call).await,
            Err(error) => self.connection_lost(&error.to_string()),
        };
        let end = self.recover_lost_answer(end).await;
        let now = self.node.now();
        self.record_cost(now.since(started));
        self.record_end(&end);
        let target = self.flight.vm().target.clone();
        if self.flight.finish(end.outcome, now) {
            slog::warn!(self.node.log, "health: Target ejected."; "target" => %target);
        }
        self.span.end();
        // Fails if the stage has already ended, which is fine.
        let _ = self.events.send(end.event).await;
    }

    async fn exchange(&self, connection: ClientConnection, call: Request) -> AttemptEnd {
        let node = Arc::clone(&self.node);
        let sent = node.now();
        let exchange = node.clients.exchange(connection, call, self.timeout);
        let response = match self.await_step(self.expected_first_byte(), exchange).await {
            Some(Ok(response)) => response,
            Some(Err(error)) => return self.call_failed(&error),
            None => return self.timed_out(),
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
            AnswerClass::Success => self.read_unary(response).await,
            class => self.read_failure(response, class).await,
        }
    }

    /// Queries the target for the answer if it was lost, or if the call failed
    /// but may have taken effect before.
    async fn recover_lost_answer(&self, end: AttemptEnd) -> AttemptEnd {
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
            deadline: self.result_deadline,
            answer_limit: self.request.pipeline.answer_limit,
        };
        let Some(body) = query.poll_answer().await else {
            return end;
        };
        let via = self.token.attempt();
        let label = self.label(self.request.id.clone(), via);
        AttemptEnd {
            event: StageEvent::UnaryResult { via, label, body },
            ..end
        }
    }

    async fn read_unary(&self, response: CallResponse<'_>) -> AttemptEnd {
        let Some(label) = read_label(&response) else {
            return self.connection_lost("the answer has no valid label");
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
            Err(error) => self.connection_lost(&error.to_string()),
        }
    }

    async fn read_failure(&self, response: CallResponse<'_>, class: AnswerClass) -> AttemptEnd {
        let via = self.token.attempt();
        let retry_after = response
            .parsed_header(headers::RETRY_AFTER_MS)
            .map(TimeSpan::from_millis);
        self.span.fail(response.status());
        // The body adds nothing to the status. It is read only so that the
        // connection can be reused.
        let _ = response
            .into_body(MAX_ERROR_BODY_SIZE, REMAINDER_TIMEOUT)
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
            response.set_read_budget(budget.line_bytes());
            let line = match self.next_line(&mut lines).await {
                Ok(line) => line,
                Err(end) => return end,
            };
            if !budget.try_charge(line.len()) {
                return self.connection_lost("the stream is larger than allowed");
            }
            let Ok(chunk) = serde_json::from_str::<TargetChunk>(&line) else {
                return self.connection_lost("a line of the stream is not valid");
            };
            match self.parse_chunk(chunk) {
                ParsedChunk::Event(event) => {
                    if self.events.send(event).await.is_err() {
                        return AttemptEnd {
                            event: StageEvent::CallerGone,
                            outcome: CallOutcome::Cancelled,
                        };
                    }
                }
                ParsedChunk::Last(end) => {
                    read_remainder(&mut lines).await;
                    response.finish();
                    return end;
                }
            }
        }
    }

    async fn next_line(&self, lines: &mut Lines<Body>) -> Result<String, AttemptEnd> {
        let started = self.node.now();
        let intervals = &self.flight.pool().stats().chunk_interval;
        let expected = estimate(intervals, CHUNK_INTERVAL_QUANTILE);
        match self.await_step(expected, lines.next()).await {
            Some(Some(Ok(line))) => {
                intervals.record(self.node.now().since(started));
                Ok(line)
            }
            Some(Some(Err(error))) => Err(self.connection_lost(&error.to_string())),
            Some(None) => Err(self.connection_lost("the stream ended without an end")),
            None => Err(self.timed_out()),
        }
    }

    /// Awaits a step of the call. For a non-idempotent call, silence does not
    /// prove that it has not run and abandoning it gains nothing, so its answer
    /// is awaited until the timeout.
    async fn await_step<Work>(&self, expected: Option<TimeSpan>, work: Work) -> Option<Work::Output>
    where
        Work: Future,
    {
        if self.stage.idempotent {
            let target = self.flight.vm().address;
            return await_progress(&self.node, target, expected, work).await;
        }
        let timeout = async {
            Timer::after(self.timeout.into()).await;
            None
        };
        let step = async { Some(work.await) };
        step.or(timeout).await
    }

    /// Time within which the head of the response usually arrives.
    fn expected_first_byte(&self) -> Option<TimeSpan> {
        estimate(&self.flight.pool().stats().first_byte, FIRST_BYTE_QUANTILE)
    }

    fn parse_chunk(&self, chunk: TargetChunk) -> ParsedChunk {
        let via = self.token.attempt();
        match chunk {
            TargetChunk::Tokens {
                request,
                attempt,
                offset,
                tokens,
                text,
            } => ParsedChunk::Event(StageEvent::Chunk(StageChunk {
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
            } => ParsedChunk::Last(AttemptEnd {
                event: StageEvent::End {
                    via,
                    label: self.label(request, attempt),
                    tokens,
                },
                outcome: CallOutcome::Answered,
            }),
            TargetChunk::Failed { message, .. } => {
                self.span.fail(message);
                ParsedChunk::Last(AttemptEnd {
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

    fn call_failed(&self, error: &CallError) -> AttemptEnd {
        match error {
            CallError::Timeout => self.timed_out(),
            _ => self.connection_lost(&error.to_string()),
        }
    }

    fn connection_lost(&self, reason: &str) -> AttemptEnd {
        self.span.fail(reason);
        AttemptEnd {
            event: StageEvent::ConnectionLost {
                via: self.token.attempt(),
            },
            outcome: CallOutcome::Failed,
        }
    }

    fn timed_out(&self) -> AttemptEnd {
        self.span.fail("no progress");
        // Drops pooled connections to a target that stopped responding.
        self.node.clients.close_idle(self.flight.vm().address);
        AttemptEnd {
            event: StageEvent::TimedOut {
                via: self.token.attempt(),
            },
            outcome: CallOutcome::Stalled,
        }
    }

    fn record_cost(&self, span: TimeSpan) {
        let pipeline = self.request.pipeline.name.as_str();
        let cost = span.as_secs_f64() * self.stage.cost_weight.get();
        let metric = &self.node.metrics.stage_cost;
        metric
            .with_label_values(&[pipeline, self.stage.name.as_str()])
            .inc_by(cost);
    }

    fn record_end(&self, end: &AttemptEnd) {
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

/// Maximum size of an error body that is read to reuse the connection.
const MAX_ERROR_BODY_SIZE: ByteSize = ByteSize::from_kib(64);
/// Timeout for reading an error body or the rest of a stream.
const REMAINDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);

/// Quantile of the time to the first byte that is taken as the expected time.
const FIRST_BYTE_QUANTILE: f64 = 0.99;
/// Quantile of the interval between chunks that is taken as the expected time.
const CHUNK_INTERVAL_QUANTILE: f64 = 0.999;
/// Minimum number of observations for an estimate.
const MIN_SAMPLES: u32 = 20;

/// Returns a quantile of the observed times, or `None` if there are too few
/// observations.
fn estimate(sketch: &QuantileSketch, quantile: f64) -> Option<TimeSpan> {
    if sketch.len() < MIN_SAMPLES {
        return None;
    }
    sketch.quantile(quantile)
}

enum ParsedChunk {
    Event(StageEvent),
    Last(AttemptEnd),
}

/// Reads the rest of the stream after its last event, so that the connection can
/// be reused.
async fn read_remainder(lines: &mut Lines<Body>) {
    let timeout = async {
        Timer::after(REMAINDER_TIMEOUT.into()).await;
    };
    let rest = async { while lines.next().await.is_some() {} };
    rest.or(timeout).await;
}

fn read_label(response: &CallResponse<'_>) -> Option<AnswerLabel> {
    Some(AnswerLabel {
        request: response.parsed_header::<RequestId>(headers::REQUEST_ID)?,
        stage: response.parsed_header::<StageName>(headers::STAGE)?,
        attempt: response.parsed_header::<AttemptNumber>(headers::ATTEMPT)?,
    })
}

/// Time left until a deadline, at least 1 ms.
pub(super) fn time_left(now: ClockTime, deadline: ClockTime) -> TimeSpan {
    now.until(deadline).max(TimeSpan::from_millis(1))
}
