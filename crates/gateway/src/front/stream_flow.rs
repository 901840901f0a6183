use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::PromptStep,
    policy::health::CallOutcome,
};
use verbenahub_platform::headers;

use super::{
    ActiveRequest, EventSplitter, GatewayResponse, RequestEnd, TargetResponse,
    answer_phase::AnswerPhase,
    event_splitter::{event_id, has_fields},
    plain_flow::{read_response, response_defect},
    resume_point::ResumePoint,
    target_sender::TargetSender,
};
use crate::{
    http::HttpStream,
    process::Shared,
    staging::{ResultGuard, StageFailure, StageFlow, StageOutput},
    targets::{MemoryReservation, SendError, TargetExchange, within},
};

/// `Retry-After` of a request whose stages failed or were late.
const STAGE_FAILURE_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(300);

/// Size up to which an unfinished event reserves no memory, so that large ones of
/// faulty targets don't break the streams of others.
const FREE_EVENT_BYTES: usize = 16 << 10;

/// Result of starting a streaming request, before its first event.
#[derive(Debug)]
pub(super) enum StreamStart<'a> {
    /// A target responds with a stream of events.
    Events(Box<StreamFlow<'a>>),
    /// A target sent another response, which was read to its end.
    Target(TargetResponse),
    /// The gateway responds itself, since no target sent a usable response.
    Gateway(GatewayResponse),
}

/// Relays a stream of events from a target to a caller.
#[derive(Debug)]
pub(super) struct StreamFlow<'a> {
    sender: TargetSender<'a>,
    exchange: TargetExchange,
    result_guard: Option<ResultGuard>,
    splitter: EventSplitter,
    /// Memory for the buffered part of an event.
    reservation: MemoryReservation,
    last_event: Option<String>,
    /// When the first event of the current target's answer arrived.
    begun_at: Option<ClockTime>,
    /// Number of the last event before the stream was resumed, until the next one
    /// has come.
    resumed_after: Option<u64>,
    /// Whether the current target's answer was recorded as settled.
    is_answered: bool,
}

/// How the stream of one target ended.
enum EventsEnd {
    Complete,
    Failed(SendError),
    Stalled,
    CallerGone(String),
    DeadlineExceeded,
}

/// Runs the stages of a streaming request, sends it to a target and waits for
/// the head of the response.
pub(super) async fn start_stream<'a>(
    shared: &'a Shared,
    request: &'a ActiveRequest,
) -> StreamStart<'a> {
    let mut sender = TargetSender::new(shared, request);
    if let Err(response) = sender.check_quarantine() {
        return StreamStart::Gateway(response);
    }
    let mut result_guard = None;
    if !request.route.stages.is_empty() {
        if let Err(response) = sender.check_open() {
            return StreamStart::Gateway(response);
        }
        match run_stages(shared, request, &sender, None).await {
            Ok(output) => {
                sender.set_stage_output(&output);
                result_guard = Some(output.guard);
            }
            Err(response) => return StreamStart::Gateway(response),
        }
    }
    let exchange = match open_stream(&mut sender, None).await {
        Ok(exchange) => exchange,
        Err(response) => return StreamStart::Gateway(response),
    };
    if !is_event_stream(&exchange) {
        let record = Arc::clone(exchange.record());
        let response = within(request.time_left(shared.now()), read_response(exchange)).await;
        sender.history.record_may_have_run();
        if let Some(Err(SendError::ConnectionLost(reason))) = &response {
            sender.record_broken_answer(&record, AnswerPhase::Head, reason);
        }
        return match response {
            Some(Ok(response)) => StreamStart::Target(response),
            Some(Err(_)) | None => StreamStart::Gateway(sender.failure_response("target_failed")),
        };
    }
    StreamStart::Events(Box::new(StreamFlow {
        sender,
        exchange,
        result_guard,
        splitter: EventSplitter::default(),
        reservation: shared.response_memory.reserve(),
        last_event: None,
        begun_at: None,
        resumed_after: None,
        is_answered: false,
    }))
}

impl StreamFlow<'_> {
    /// Relays events to the caller until the stream ends, resuming it at other
    /// targets where the route allows it.
    pub(super) async fn run(mut self, caller: &HttpStream, closes: bool) -> RequestEnd {
        let shared = self.sender.shared;
        let request = self.sender.request;
        let status = self.exchange.head.status;
        let head = TargetResponse::encode_stream_head(&self.exchange.head, closes);
        if let Err(error) = caller.write(&head).await {
            self.exchange.cancel();
            return RequestEnd::interrupted("caller_gone", None, error.to_string());
        }
        loop {
            let end = self.relay_events(caller).await;
            let reason = match end {
                EventsEnd::Complete => {
                    return match caller.write(b"0\r\n\r\n").await {
                        Ok(()) => RequestEnd::answered(status, !closes),
                        Err(error) => {
                            RequestEnd::interrupted("caller_gone", Some(status), error.to_string())
                        }
                    };
                }
                EventsEnd::CallerGone(reason) => {
                    self.exchange.cancel();
                    return RequestEnd::interrupted("caller_gone", Some(status), reason);
                }
                EventsEnd::DeadlineExceeded => {
                    self.exchange.cancel();
                    return RequestEnd::interrupted("time_over", Some(status), String::new());
                }
                EventsEnd::Failed(error) => {
                    self.exchange.close();
                    self.record_failure(&error);
                    error.to_string()
                }
                EventsEnd::Stalled => "silent".to_owned(),
            };
            slog::warn!(shared.log, "request: Stream broke.";
                "request" => &request.id, "target" => %self.exchange.record().id,
                "last_event" => self.last_event.clone(), "reason" => &reason);
            self.sender.end_assignment(PromptStep::Failed);
            if !self.resume().await {
                return RequestEnd::interrupted("stream_broken", Some(status), reason);
            }
        }
    }

    /// Resumes the stream at another target, if the route allows it, or else at its
    /// own, if that one is only silent. Returns whether the stream goes on.
    async fn resume(&mut self) -> bool {
        self.sender.history.record_may_have_run();
        if self.resume_elsewhere().await {
            return true;
        }
        let is_kept = self.exchange.is_open();
        if is_kept {
            // The engine that was chosen instead has not taken the request.
            self.sender.end_assignment(PromptStep::Ended);
            if self.last_event.is_some() {
                self.result_guard = None;
            }
            slog::info!(self.sender.shared.log, "request: Silent stream is kept.";
                "request" => &self.sender.request.id, "target" => %self.exchange.record().id);
        }
        is_kept
    }

    /// Resumes the stream at another target. Returns whether one accepted it. The
    /// exchange is open afterwards only if no other target can work on the stream.
    async fn resume_elsewhere(&mut self) -> bool {
        if !self.sender.request.route.resumable || !self.has_valid_resume_point() {
            return false;
        }
        if !self.sender.may_repeat().await {
            return false;
        }
        if !self.restore_inputs().await {
            return false;
        }
        let last = self.last_event.clone();
        let mut resume_point = ResumePoint {
            last_event: last.as_deref(),
            previous: &mut self.exchange,
        };
        let Ok(exchange) = open_stream(&mut self.sender, Some(&mut resume_point)).await else {
            return false;
        };
        if !is_event_stream(&exchange) {
            return false;
        }
        self.exchange = exchange;
        self.splitter.clear();
        self.begun_at = None;
        self.is_answered = false;
        self.resumed_after = last.and_then(|id| id.parse().ok());
        true
    }

    /// Whether the id of the last event can stand in a header.
    fn has_valid_resume_point(&self) -> bool {
        let last = self.last_event.as_deref().unwrap_or_default();
        !last.contains(char::is_control)
    }

    /// Records how far the answer had come if it broke off with its connection.
    fn record_failure(&mut self, error: &SendError) {
        let phase = AnswerPhase::of_stream(self.begun_at, self.sender.shared.now());
        if let SendError::ConnectionLost(reason) = error {
            let record = Arc::clone(self.exchange.record());
            self.sender.record_broken_answer(&record, phase, reason);
        }
    }

    /// Runs the stages again if their results were released. Returns whether the
    /// results are available.
    async fn restore_inputs(&mut self) -> bool {
        let (shared, request) = (self.sender.shared, self.sender.request);
        if request.route.stages.is_empty() || self.result_guard.is_some() {
            return true;
        }
        // Half of the time after which callers abandon a silent stream may have
        // passed by now. The stall limit is the other half.
        let needed_by = shared.now() + request.route.stall_limit();
        match run_stages(shared, request, &self.sender, Some(needed_by)).await {
            Ok(output) => {
                self.sender.set_stage_output(&output);
                self.result_guard = Some(output.guard);
                true
            }
            Err(response) => {
                slog::warn!(shared.log, "request: Could not run the stages again.";
                    "request" => &request.id, "reason" => response.code());
                false
            }
        }
    }

    async fn relay_events(&mut self, caller: &HttpStream) -> EventsEnd {
        let shared = self.sender.shared;
        // Only complete events count as progress.
        let mut progress_at = shared.now();
        loop {
            let now = shared.now();
            let left = self.sender.request.time_left(now);
            if left.is_zero() {
                return EventsEnd::DeadlineExceeded;
            }
            let read_timeout = if self.sender.may_resume() {
                let silence = self.sender.request.route.stall_limit();
                now.until(progress_at + silence).min(left)
            } else {
                left
            };
            let bytes = match within(read_timeout, self.exchange.next()).await {
                Some(Ok(Some(bytes))) => bytes,
                Some(Ok(None)) => return self.finish(),
                Some(Err(error)) => return EventsEnd::Failed(error),
                None if read_timeout < left => {
                    if !self.sender.can_resume() {
                        progress_at = shared.now();
                        continue;
                    }
                    self.exchange.set_outcome(CallOutcome::Stalled);
                    return EventsEnd::Stalled;
                }
                None => return EventsEnd::DeadlineExceeded,
            };
            if let Err(error) = self.splitter.push(&bytes) {
                return EventsEnd::Failed(SendError::Malformed(error.to_string()));
            }
            let mut chunk = BytesMut::new();
            while let Some(event) = self.splitter.next_event() {
                if has_fields(&event) {
                    if !self.continues_stream(&event) {
                        let reason = "resumed at an event that was already sent".to_owned();
                        return EventsEnd::Failed(SendError::Malformed(reason));
                    }
                    self.record_event(&event);
                    progress_at = shared.now();
                }
                chunk.extend_from_slice(&event);
            }
            let buffered = self.splitter.buffered_bytes();
            if !self
                .reservation
                .resize(buffered.saturating_sub(FREE_EVENT_BYTES))
            {
                let reason = "no memory for an unfinished event".to_owned();
                return EventsEnd::Failed(SendError::Malformed(reason));
            }
            if chunk.is_empty() {
                continue;
            }
            match within(left, caller.write(&encode_chunk(&chunk))).await {
                Some(Ok(())) => {}
                Some(Err(error)) => return EventsEnd::CallerGone(error.to_string()),
                None => return EventsEnd::DeadlineExceeded,
            }
        }
    }

    /// Whether an event comes after those that were sent before the stream was
    /// resumed. Events without a number can't be compared.
    fn continues_stream(&mut self, event: &Bytes) -> bool {
        let Some(last) = self.resumed_after else {
            return true;
        };
        let Some(number) = event_id(event).and_then(|id| id.parse::<u64>().ok()) else {
            return true;
        };
        self.resumed_after = None;
        number > last
    }

    fn record_event(&mut self, event: &Bytes) {
        let shared = self.sender.shared;
        let now = shared.now();
        let begun_at = *self.begun_at.get_or_insert(now);
        if AnswerPhase::of_stream(Some(begun_at), now) == AnswerPhase::Settled {
            self.record_answer();
        }
        if self.last_event.is_none() {
            let request = self.sender.request;
            let took = shared.now().since(request.received_at);
            let kind = request.route.name.as_str();
            let seconds = &shared.metrics.first_event_seconds;
            seconds
                .with_label_values(&[kind])
                .observe(took.as_secs_f64());
            // The target has read its inputs, so they are released. Keeping them for
            // the few streams that are resumed would occupy memory until the end of
            // every stream; a resumed stream runs its stages again.
            self.result_guard = None;
            self.sender.report_prompt_read();
        }
        let id = event_id(event).map(str::to_owned);
        self.last_event = id
            .or_else(|| self.last_event.take())
            .or(Some(String::new()));
    }

    /// Records that the target has answered the request without a crash.
    fn record_answer(&mut self) {
        if !self.is_answered {
            self.is_answered = true;
            let (shared, request) = (self.sender.shared, self.sender.request);
            let quarantine = &shared.quarantine;
            quarantine.record_answer(&request.shared_parts, shared.now());
        }
    }

    /// Handles the end of the target's response. The stream is complete unless it
    /// ended within an event, or its connection ended before the first one.
    fn finish(&mut self) -> EventsEnd {
        if self.splitter.has_partial_event() {
            self.exchange.set_outcome(CallOutcome::Failed);
            return EventsEnd::Failed(SendError::ConnectionLost(
                "ended inside an event".to_owned(),
            ));
        }
        if self.begun_at.is_none() {
            if self.exchange.ends_with_connection() {
                self.exchange.set_outcome(CallOutcome::Failed);
                let reason = "ended before the first event".to_owned();
                return EventsEnd::Failed(SendError::ConnectionLost(reason));
            }
        } else {
            self.record_answer();
        }
        EventsEnd::Complete
    }
}

/// Sends the request to a target and waits for the head of a response that can be
/// relayed. A stream that isn't the target's own counts as a lost response: the
/// request may have run, and its connection is closed so that the target stops.
///
/// # Errors
///
/// Returns the gateway's own response if there is no such response.
async fn open_stream(
    sender: &mut TargetSender<'_>,
    mut resume_point: Option<&mut ResumePoint<'_>>,
) -> Result<TargetExchange, GatewayResponse> {
    loop {
        let exchange = sender.open_exchange(resume_point.as_deref_mut()).await?;
        let defect = response_defect(&exchange.head).filter(|_| is_event_stream(&exchange));
        let Some(defect) = defect else {
            return Ok(exchange);
        };
        let (shared, request) = (sender.shared, sender.request);
        slog::warn!(shared.log, "request: Stream of the target is unusable.";
            "request" => &request.id, "target" => %exchange.record().id, "error" => defect);
        drop(exchange);
        sender.history.record_may_have_run();
        sender.end_assignment(PromptStep::Failed);
        if !sender.may_repeat().await {
            return Err(sender.failure_response("target_failed"));
        }
    }
}

/// Runs the stages of a request before it is first sent. With `rerun_deadline`
/// they run again, for a stream that is resumed and needs their results by then.
async fn run_stages(
    shared: &Shared,
    request: &ActiveRequest,
    sender: &TargetSender<'_>,
    rerun_deadline: Option<ClockTime>,
) -> Result<StageOutput, GatewayResponse> {
    let fields = &request.head.headers;
    let pieces = fields.text(headers::PIECES).and_then(parse_pieces);
    let pieces = pieces.ok_or(GatewayResponse::bad_request("no_pieces"))?;
    if pieces.len() != request.route.stages.len() {
        return Err(GatewayResponse::bad_request("pieces_do_not_fit"));
    }
    let deadline = rerun_deadline.map_or_else(
        || request.first_event_deadline(),
        |rerun_deadline| rerun_deadline.min(request.deadline),
    );
    let flow = StageFlow {
        shared,
        config: &request.config,
        route: &request.route,
        workspace: request.workspace.as_ref(),
        request: &request.id,
        key: fields.text(headers::PIECE_KEY).unwrap_or_default(),
        pieces: &pieces,
        preferred_zone: sender.preferred_zone(),
        goal_at: rerun_deadline.unwrap_or(request.goal_at()),
        deadline,
        is_repeat: rerun_deadline.is_some(),
    };
    let left = shared.now().until(deadline);
    let (code, retry_after) = match within(left, flow.run()).await {
        Some(Ok(output)) => return Ok(output),
        Some(Err(StageFailure::Refused { retry_after })) => ("stages_full", retry_after),
        Some(Err(StageFailure::Failed(reason))) => {
            slog::warn!(shared.log, "request: Stages failed.";
                "request" => &request.id, "reason" => reason);
            ("stages_failed", STAGE_FAILURE_RETRY_AFTER)
        }
        None => ("stages_late", STAGE_FAILURE_RETRY_AFTER),
    };
    match sender.history.prove_not_run() {
        Some(proof) => Err(GatewayResponse::not_run(proof, code, retry_after)),
        None => Err(GatewayResponse::outcome_unknown()),
    }
}

fn parse_pieces(text: &str) -> Option<Vec<u32>> {
    let numbers = text.split(',').map(|number| number.trim().parse().ok());
    numbers.collect()
}

fn is_event_stream(exchange: &TargetExchange) -> bool {
    let kind = exchange.head.headers.text("content-type");
    let is_stream = kind.is_some_and(|kind| kind.trim().starts_with("text/event-stream"));
    exchange.head.status == 200 && is_stream
}

fn encode_chunk(bytes: &[u8]) -> BytesMut {
    let mut chunk = BytesMut::with_capacity(bytes.len() + 12);
    chunk.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    chunk.extend_from_slice(bytes);
    chunk.put_slice(b"\r\n");
    chunk
}
