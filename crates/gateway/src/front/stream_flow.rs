use bytes::{BufMut, Bytes, BytesMut};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::PromptStep,
    policy::health::CallOutcome,
};
use verbenahub_platform::headers;

use super::{
    ActiveRequest, EventSplitter, OwnAnswer, RelayAnswer, RequestEnd, event_splitter::event_id,
    plain_flow::take_answer, target_send::TargetSend,
};
use crate::{
    http::HttpStream,
    process::Shared,
    staging::{ResultGuard, StageFailure, StageFlow, StageOutput},
    targets::{SendError, TargetExchange, within},
};

/// When a caller may come back whose stages failed.
const STAGE_RETRY: TimeSpan = TimeSpan::from_millis(300);

/// What a streaming request has come to before its first event.
#[derive(Debug)]
pub(super) enum StreamStart<'a> {
    /// A target streams.
    Events(Box<StreamFlow<'a>>),
    /// A target answered otherwise.
    Answer(RelayAnswer),
    /// No target answered.
    Own(OwnAnswer),
}

/// A stream between a target and a caller.
#[derive(Debug)]
pub(super) struct StreamFlow<'a> {
    send: TargetSend<'a>,
    exchange: TargetExchange,
    guard: Option<ResultGuard>,
    splitter: EventSplitter,
    last_event: Option<String>,
}

/// How the events of one target ended.
enum EventsEnd {
    Complete,
    Broken(SendError),
    Silent,
    CallerGone(String),
    TimeOver,
}

/// Runs the stages of a streaming request and sends it to a target.
pub(super) async fn start_stream<'a>(
    shared: &'a Shared,
    request: &'a ActiveRequest,
) -> StreamStart<'a> {
    let mut send = TargetSend::new(shared, request);
    let mut guard = None;
    if !request.route.stages.is_empty() {
        match run_stages(shared, request, &send, None).await {
            Ok(output) => {
                send.take_inputs(&output);
                guard = Some(output.guard);
            }
            Err(answer) => return StreamStart::Own(answer),
        }
    }
    let exchange = match send.begin(None).await {
        Ok(exchange) => exchange,
        Err(answer) => return StreamStart::Own(answer),
    };
    if !is_event_stream(&exchange) {
        let answer = within(request.left(shared.now()), take_answer(exchange)).await;
        send.history.record_may_have_run();
        return match answer {
            Some(Ok(answer)) => StreamStart::Answer(answer),
            Some(Err(_)) | None => StreamStart::Own(send.give_up("target_failed")),
        };
    }
    StreamStart::Events(Box::new(StreamFlow {
        send,
        exchange,
        guard,
        splitter: EventSplitter::default(),
        last_event: None,
    }))
}

impl StreamFlow<'_> {
    /// Passes events on to the caller until the stream ends.
    pub(super) async fn run(mut self, caller: &HttpStream, closes: bool) -> RequestEnd {
        let shared = self.send.shared;
        let request = self.send.request;
        let status = self.exchange.head.status;
        let head = RelayAnswer::encode_stream_head(&self.exchange.head, closes);
        if let Err(error) = caller.write(&head).await {
            self.exchange.abandon();
            return RequestEnd::broken("caller_gone", None, error.to_string());
        }
        loop {
            let end = self.pass_events(caller).await;
            let reason = match end {
                EventsEnd::Complete => {
                    return match caller.write(b"0\r\n\r\n").await {
                        Ok(()) => RequestEnd::answered(status, !closes),
                        Err(error) => {
                            RequestEnd::broken("caller_gone", Some(status), error.to_string())
                        }
                    };
                }
                EventsEnd::CallerGone(reason) => {
                    self.exchange.abandon();
                    return RequestEnd::broken("caller_gone", Some(status), reason);
                }
                EventsEnd::TimeOver => {
                    self.exchange.abandon();
                    return RequestEnd::broken("time_over", Some(status), String::new());
                }
                EventsEnd::Broken(error) => error.to_string(),
                EventsEnd::Silent => "silent".to_owned(),
            };
            slog::warn!(shared.log, "request: Stream broke.";
                "request" => &request.id, "target" => %self.exchange.record().id,
                "last_event" => self.last_event.clone(), "reason" => &reason);
            self.send.end_place(PromptStep::Failed);
            if !self.resume().await {
                return RequestEnd::broken("stream_broken", Some(status), reason);
            }
        }
    }

    /// Goes on at another target, if the route allows it.
    async fn resume(&mut self) -> bool {
        self.send.history.record_may_have_run();
        self.splitter.clear();
        if !self.send.request.route.resumable || !self.send.may_retry() {
            return false;
        }
        if !self.restore_inputs().await {
            return false;
        }
        let last = self.last_event.clone();
        let Ok(exchange) = self.send.begin(last.as_deref()).await else {
            return false;
        };
        if !is_event_stream(&exchange) {
            return false;
        }
        self.exchange = exchange;
        true
    }

    /// Has the stages' results made anew if they were given up.
    async fn restore_inputs(&mut self) -> bool {
        let (shared, request) = (self.send.shared, self.send.request);
        if request.route.stages.is_empty() || self.guard.is_some() {
            return true;
        }
        // Half of the silence after which callers leave may be over by now.
        let needed_by = shared.now() + request.route.stall_limit();
        match run_stages(shared, request, &self.send, Some(needed_by)).await {
            Ok(output) => {
                self.send.take_inputs(&output);
                self.guard = Some(output.guard);
                true
            }
            Err(answer) => {
                slog::warn!(shared.log, "request: Results not made again.";
                    "request" => &request.id, "reason" => answer.code());
                false
            }
        }
    }

    async fn pass_events(&mut self, caller: &HttpStream) -> EventsEnd {
        let shared = self.send.shared;
        // Bytes that end no event are no progress.
        let mut progress_at = shared.now();
        loop {
            let now = shared.now();
            let left = self.send.request.left(now);
            if left.is_zero() {
                return EventsEnd::TimeOver;
            }
            let patience = if self.send.may_move() {
                let silence = self.send.request.route.stall_limit();
                now.until(progress_at + silence).min(left)
            } else {
                left
            };
            let bytes = match within(patience, self.exchange.next()).await {
                Some(Ok(Some(bytes))) => bytes,
                Some(Ok(None)) => return self.finish(),
                Some(Err(error)) => return EventsEnd::Broken(error),
                None if patience < left => {
                    if !self.send.can_move() {
                        progress_at = shared.now();
                        continue;
                    }
                    self.exchange.set_outcome(CallOutcome::Stalled);
                    return EventsEnd::Silent;
                }
                None => return EventsEnd::TimeOver,
            };
            if let Err(error) = self.splitter.push(&bytes) {
                return EventsEnd::Broken(SendError::Malformed(error.to_string()));
            }
            let mut chunk = BytesMut::new();
            while let Some(event) = self.splitter.next_event() {
                self.take_event(&event);
                chunk.extend_from_slice(&event);
            }
            if chunk.is_empty() {
                continue;
            }
            progress_at = shared.now();
            match within(left, caller.write(&encode_chunk(&chunk))).await {
                Some(Ok(())) => {}
                Some(Err(error)) => return EventsEnd::CallerGone(error.to_string()),
                None => return EventsEnd::TimeOver,
            }
        }
    }

    fn take_event(&mut self, event: &Bytes) {
        if self.last_event.is_none() {
            let shared = self.send.shared;
            let request = self.send.request;
            let took = shared.now().since(request.received);
            let kind = request.route.name.as_str();
            let seconds = &shared.metrics.first_event_seconds;
            seconds
                .with_label_values(&[kind])
                .observe(took.as_secs_f64());
            // The target has read its inputs. Kept for the few streams that go on
            // elsewhere, they would lie until the end of all; these have theirs
            // made anew.
            self.guard = None;
            self.send.note_read();
        }
        let id = event_id(event).map(str::to_owned);
        self.last_event = id
            .or_else(|| self.last_event.take())
            .or(Some(String::new()));
    }

    /// The target's bytes are at their end: so is the stream, unless it ended
    /// inside an event.
    fn finish(&mut self) -> EventsEnd {
        if self.splitter.has_rest() {
            self.exchange.set_outcome(CallOutcome::Failed);
            return EventsEnd::Broken(SendError::Broken("ended inside an event".to_owned()));
        }
        EventsEnd::Complete
    }
}

/// Runs the stages of a request: before its first send, or once more for a
/// stream that needs them by `repeat_by`.
async fn run_stages(
    shared: &Shared,
    request: &ActiveRequest,
    send: &TargetSend<'_>,
    repeat_by: Option<ClockTime>,
) -> Result<StageOutput, OwnAnswer> {
    let fields = &request.head.headers;
    let pieces = fields.text(headers::PIECES).and_then(parse_pieces);
    let pieces = pieces.ok_or(OwnAnswer::bad_request("no_pieces"))?;
    if pieces.len() != request.route.stages.len() {
        return Err(OwnAnswer::bad_request("pieces_do_not_fit"));
    }
    let dead_at = repeat_by.map_or_else(
        || request.first_event_by(),
        |repeat_by| repeat_by.min(request.limit_at),
    );
    let flow = StageFlow {
        shared,
        config: &request.config,
        route: &request.route,
        request: &request.id,
        key: fields.text(headers::PIECE_KEY).unwrap_or_default(),
        pieces: &pieces,
        preferred_zone: send.home(),
        goal_at: repeat_by.unwrap_or(request.goal_at()),
        deadline: dead_at,
        is_repeat: repeat_by.is_some(),
    };
    let left = shared.now().until(dead_at);
    let (code, retry_after) = match within(left, flow.run()).await {
        Some(Ok(output)) => return Ok(output),
        Some(Err(StageFailure::Refused { retry_after })) => ("stages_full", retry_after),
        Some(Err(StageFailure::Failed(reason))) => {
            slog::warn!(shared.log, "request: Stages failed.";
                "request" => &request.id, "reason" => reason);
            ("stages_failed", STAGE_RETRY)
        }
        None => ("stages_late", STAGE_RETRY),
    };
    match send.history.prove_not_run() {
        Some(proof) => Err(OwnAnswer::not_run(proof, code, retry_after)),
        None => Err(OwnAnswer::outcome_unknown()),
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
