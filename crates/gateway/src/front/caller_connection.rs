use bytes::Bytes;
use futures_lite::FutureExt;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    routes::{CallerLimits, RouteKind},
};

use super::{
    ActiveRequest, OwnAnswer, RelayAnswer, RequestEnd,
    plain_flow::run_plain,
    request_intake::take_in,
    stream_flow::{StreamStart, start_stream},
};
use crate::{
    http::{
        BodyError, BodyFraming, BodyReader, HeadError, HttpStream, RequestHead, request_framing,
    },
    process::Shared,
    targets::within,
};

/// Time for which a connection outlives the idle limit that callers know, so
/// that a request under way at the limit is still served.
const IDLE_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// Time for a caller to take an answer of the gateway's own.
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Time for a request's body.
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);

/// One connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    shared: Shared,
    stream: HttpStream,
}

/// A request as it was read.
type ReadRequest = (RequestHead, Bytes, ClockTime);

impl CallerConnection {
    /// Serves a connection.
    #[must_use]
    pub const fn new(shared: Shared, stream: HttpStream) -> Self {
        Self { shared, stream }
    }

    /// Serves requests until either side ends the connection.
    pub async fn run(mut self) {
        loop {
            let limits = self.limits();
            if !self.wait_request(limits).await {
                return;
            }
            let guard = self.shared.work.begin();
            let shared = Shared::clone(&self.shared);
            shared.metrics.in_flight.inc();
            let keeps = match self.read(limits).await {
                Ok(Some(request)) => self.serve(request).await,
                Ok(None) => false,
                Err(answer) => {
                    slog::info!(shared.log, "caller: Request not taken.";
                        "status" => answer.status(), "code" => answer.code());
                    self.write_own(&answer, true).await;
                    false
                }
            };
            shared.metrics.in_flight.dec();
            drop(guard);
            if !keeps {
                return;
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        let config = self.shared.config();
        config.map(|config| config.limits).unwrap_or_default()
    }

    /// Waits for the first byte of a request. Returns whether it came.
    async fn wait_request(&mut self, limits: CallerLimits) -> bool {
        let ending = self.shared.caller_shutdown.clone();
        let idle = limits.idle_timeout + IDLE_SLACK;
        let bytes = async {
            let waited = within(idle, self.stream.wait_readable()).await;
            matches!(waited, Some(Ok(true)))
        };
        let ended = async {
            // Nothing is ever sent; the channel is closed when idle
            // connections end.
            let _ = ending.recv().await;
            false
        };
        bytes.or(ended).await
    }

    async fn read(&mut self, limits: CallerLimits) -> Result<Option<ReadRequest>, OwnAnswer> {
        let received = self.shared.now();
        let size = limits.head_size.as_usize();
        let head = within(limits.head_timeout, self.stream.read_request(size)).await;
        let head = match head {
            Some(Ok(Some(head))) => head,
            Some(Ok(None) | Err(HeadError::Io(_) | HeadError::Truncated)) => return Ok(None),
            Some(Err(HeadError::TooLarge(_))) => return Err(OwnAnswer::head_too_large()),
            Some(Err(HeadError::Syntax(_) | HeadError::Framing(_) | HeadError::Interim)) => {
                return Err(OwnAnswer::malformed());
            }
            None => return Err(OwnAnswer::slow_request()),
        };
        let framing = request_framing(&head.headers);
        let framing = framing.map_err(|_| OwnAnswer::malformed())?;
        let limit = limits.body_size.as_usize();
        if matches!(framing, BodyFraming::Length(length) if length > limits.body_size.as_bytes()) {
            return Err(OwnAnswer::body_too_large());
        }
        if head.headers.contains_token("expect", "100-continue") {
            let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
            if self.stream.write(go_on).await.is_err() {
                return Ok(None);
            }
        }
        let body = BodyReader::new(framing).collect(&mut self.stream, limit);
        match within(BODY_TIMEOUT, body).await {
            Some(Ok(body)) => Ok(Some((head, body, received))),
            Some(Err(BodyError::Io(_) | BodyError::Truncated)) => Ok(None),
            Some(Err(BodyError::Chunk)) => Err(OwnAnswer::malformed()),
            Some(Err(BodyError::TooLarge(_))) => Err(OwnAnswer::body_too_large()),
            None => Err(OwnAnswer::slow_request()),
        }
    }

    /// Answers one request. Returns whether the connection goes on.
    async fn serve(&mut self, (head, body, received): ReadRequest) -> bool {
        let closes = head.closes();
        let shared = Shared::clone(&self.shared);
        let request = match take_in(&shared, head, body, received) {
            Ok(request) => request,
            Err(answer) => {
                slog::info!(shared.log, "request: Not taken.";
                    "status" => answer.status(), "code" => answer.code());
                let outcome = answer.code();
                shared
                    .metrics
                    .requests
                    .with_label_values(&["none", outcome])
                    .inc();
                return self.write_own(&answer, closes).await;
            }
        };
        let work = self.answer(&request, closes);
        let left = async {
            self.stream.wait_closed().await;
            RequestEnd::broken("caller_gone", None, "connection closed".to_owned())
        };
        let end = work.or(left).await;
        note_end(&shared, &request, &end);
        end.keeps
    }

    async fn answer(&self, request: &ActiveRequest, closes: bool) -> RequestEnd {
        if request.route.kind == RouteKind::Streaming {
            return match start_stream(&self.shared, request).await {
                StreamStart::Events(flow) => {
                    let closes = closes || self.shared.stopping.get();
                    flow.run(&self.stream, closes).await
                }
                StreamStart::Answer(answer) => self.finish_relay(&answer, closes).await,
                StreamStart::Own(answer) => self.finish_own(&answer, closes).await,
            };
        }
        match run_plain(&self.shared, request).await {
            Ok(answer) => self.finish_relay(&answer, closes).await,
            Err(answer) => self.finish_own(&answer, closes).await,
        }
    }

    async fn finish_relay(&self, answer: &RelayAnswer, closes: bool) -> RequestEnd {
        let closes = closes || self.shared.stopping.get();
        let status = answer.head.status;
        match within(WRITE_TIMEOUT, self.stream.write(&answer.encode(closes))).await {
            Some(Ok(())) => RequestEnd::answered(status, !closes),
            Some(Err(error)) => RequestEnd::broken("caller_gone", Some(status), error.to_string()),
            None => RequestEnd::broken("caller_slow", Some(status), String::new()),
        }
    }

    async fn finish_own(&self, answer: &OwnAnswer, closes: bool) -> RequestEnd {
        let keeps = self.write_own(answer, closes).await;
        let wait = answer.retry_after().map(|span| span.to_string());
        RequestEnd {
            outcome: answer.code(),
            status: Some(answer.status()),
            reason: wait.map_or_else(String::new, |wait| format!("retry after {wait}")),
            keeps,
        }
    }

    /// Writes an answer of the gateway's own. Returns whether the connection
    /// goes on.
    async fn write_own(&self, answer: &OwnAnswer, closes: bool) -> bool {
        let closes = closes || answer.closes() || self.shared.stopping.get();
        let message = answer.encode(closes);
        let written = within(WRITE_TIMEOUT, self.stream.write(&message)).await;
        matches!(written, Some(Ok(()))) && !closes
    }
}

fn note_end(shared: &Shared, request: &ActiveRequest, end: &RequestEnd) {
    let took = shared.now().since(request.received);
    let route = &request.route;
    let kind = route.kind.to_string();
    let metrics = &shared.metrics;
    metrics
        .requests
        .with_label_values(&[&kind, end.outcome])
        .inc();
    let seconds = metrics.request_seconds.with_label_values(&[&kind]);
    seconds.observe(took.as_secs_f64());
    let contact = shared.store_connectivity.borrow();
    slog::info!(shared.log, "request: Ended.";
        "request" => &request.id, "route" => &route.name, "kind" => kind,
        "workspace" => request.workspace.as_ref().map(ToString::to_string),
        "outcome" => end.outcome, "status" => end.status, "reason" => &end.reason,
        "took" => %took, "config_version" => request.config.version,
        "config_current" => contact.is_current(shared.now()));
}
