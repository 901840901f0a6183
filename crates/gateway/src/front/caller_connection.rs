use bytes::Bytes;
use futures_lite::FutureExt;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    routes::{CallerLimits, RouteKind},
};

use super::{
    ActiveRequest, GatewayResponse, RequestEnd, RequestProgress, TargetResponse,
    plain_flow::run_plain,
    request_resolver::{reject_unsent, resolve_request},
    stream_flow::{StreamStart, start_stream},
};
use crate::{
    http::{
        BodyError, BodyFraming, BodyReader, HeadError, HttpStream, RequestHead, request_framing,
    },
    process::Shared,
    targets::within,
};

/// Time that a connection is kept beyond the idle timeout announced to callers,
/// so that a request sent just before the timeout is still served.
const IDLE_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// Timeout for writing a complete response to a caller.
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Timeout for reading a request body.
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);

/// A caller's connection.
#[derive(Debug)]
pub struct CallerConnection {
    shared: Shared,
    stream: HttpStream,
}

/// Head and body of a request, and when its first byte was read.
type ReadRequest = (RequestHead, Bytes, ClockTime);

impl CallerConnection {
    /// Creates the handler of an accepted connection.
    #[must_use]
    pub const fn new(shared: Shared, stream: HttpStream) -> Self {
        Self { shared, stream }
    }

    /// Serves requests until either side closes the connection.
    pub async fn run(mut self) {
        loop {
            let limits = self.limits();
            if !self.wait_for_request(limits).await {
                return;
            }
            let guard = self.shared.work.begin();
            let shared = Shared::clone(&self.shared);
            shared.metrics.in_flight.inc();
            let keep_alive = match self.read_request(limits).await {
                Ok(Some(request)) => self.serve_request(request).await,
                Ok(None) => false,
                Err(response) => {
                    slog::info!(shared.log, "caller: Rejected a request that could not be read.";
                        "status" => response.status(), "code" => response.code());
                    self.write_gateway_response(&response, true).await;
                    false
                }
            };
            shared.metrics.in_flight.dec();
            drop(guard);
            if !keep_alive {
                return;
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        let config = self.shared.config();
        config.map(|config| config.limits).unwrap_or_default()
    }

    /// Waits for the first byte of a request. Returns false if the connection
    /// was idle for too long, was closed, or the gateway is shutting down.
    async fn wait_for_request(&mut self, limits: CallerLimits) -> bool {
        let ending = self.shared.caller_shutdown.clone();
        let idle = limits.idle_timeout + IDLE_SLACK;
        let bytes = async {
            let waited = within(idle, self.stream.wait_readable()).await;
            matches!(waited, Some(Ok(true)))
        };
        let shutdown = async {
            // Nothing is ever sent on this channel; it is closed when idle
            // connections must end.
            let _ = ending.recv().await;
            false
        };
        // A read may yield although bytes have arrived, so the shutdown alone doesn't show
        // that the connection is idle.
        bytes.or(shutdown).await || self.stream.has_unread_bytes()
    }

    async fn read_request(
        &mut self,
        limits: CallerLimits,
    ) -> Result<Option<ReadRequest>, GatewayResponse> {
        let received_at = self.shared.now();
        let size = limits.head_size.as_usize();
        let head = within(limits.head_timeout, self.stream.read_request(size)).await;
        let head = match head {
            Some(Ok(Some(head))) => head,
            Some(Ok(None) | Err(HeadError::Io(_) | HeadError::Truncated)) => return Ok(None),
            Some(Err(HeadError::TooLarge(_))) => return Err(GatewayResponse::head_too_large()),
            Some(Err(
                HeadError::Syntax(_)
                | HeadError::Framing(_)
                | HeadError::TooManyInterimResponses
                | HeadError::InvalidStatus(_)
                | HeadError::InterimBody(_),
            )) => {
                return Err(GatewayResponse::malformed());
            }
            None => return Err(GatewayResponse::slow_request()),
        };
        let framing = request_framing(&head.headers);
        let framing = framing.map_err(|_| GatewayResponse::malformed())?;
        let limit = limits.body_size.as_usize();
        if matches!(framing, BodyFraming::Length(length) if length > limits.body_size.as_bytes()) {
            return Err(GatewayResponse::body_too_large());
        }
        if head.headers.contains_token("expect", "100-continue") {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            if self.stream.write(interim).await.is_err() {
                return Ok(None);
            }
        }
        let body = BodyReader::new(framing).collect(&mut self.stream, limit);
        match within(BODY_TIMEOUT, body).await {
            Some(Ok(body)) => Ok(Some((head, body, received_at))),
            Some(Err(BodyError::Io(_) | BodyError::Truncated)) => Ok(None),
            Some(Err(BodyError::MalformedChunk)) => Err(GatewayResponse::malformed()),
            Some(Err(BodyError::TooLarge(_))) => Err(GatewayResponse::body_too_large()),
            None => Err(GatewayResponse::slow_request()),
        }
    }

    /// Serves one request. Returns whether the connection can be reused.
    async fn serve_request(&mut self, (head, body, received_at): ReadRequest) -> bool {
        let closes = head.closes();
        let shared = Shared::clone(&self.shared);
        let request = match resolve_request(&shared, head, body, received_at) {
            Ok(request) => request,
            Err(response) => {
                slog::info!(shared.log, "request: Not taken.";
                    "status" => response.status(), "code" => response.code());
                let outcome = response.code();
                shared
                    .metrics
                    .requests
                    .with_label_values(&["none", outcome])
                    .inc();
                return self.write_gateway_response(&response, closes).await;
            }
        };
        // Boxed, since the future is large and most connections are idle.
        let work = Box::pin(self.handle(&request, closes));
        let caller_gone = async {
            self.stream.wait_closed().await;
            RequestEnd::interrupted("caller_gone", None, "connection closed".to_owned())
        };
        let work = async { Some(work.or(caller_gone).await) };
        let work_end = async {
            shared.wait_work_end().await;
            None
        };
        let end = match work.or(work_end).await {
            Some(end) => end,
            None => self.finish_at_stop(&request).await,
        };
        record_end(&shared, &request, &end);
        end.keep_alive
    }

    /// Answers a request that is still in progress when the process has to exit.
    async fn finish_at_stop(&self, request: &ActiveRequest) -> RequestEnd {
        let response = match request.progress() {
            RequestProgress::Waiting => reject_unsent(GatewayResponse::stopping),
            RequestProgress::Sent => GatewayResponse::outcome_unknown(),
            RequestProgress::Answering => {
                let reason = "the process stops".to_owned();
                return RequestEnd::interrupted("cut_off", None, reason);
            }
        };
        self.finish_with_gateway_response(&response, true).await
    }

    async fn handle(&self, request: &ActiveRequest, closes: bool) -> RequestEnd {
        if request.route.kind == RouteKind::Streaming {
            let start = start_stream(&self.shared, request).await;
            request.set_progress(RequestProgress::Answering);
            return match start {
                StreamStart::Events(flow) => {
                    let closes = closes || self.shared.stopping.get();
                    flow.run(&self.stream, closes).await
                }
                StreamStart::Target(response) => {
                    self.finish_with_target_response(&response, closes).await
                }
                StreamStart::Gateway(response) => {
                    self.finish_with_gateway_response(&response, closes).await
                }
            };
        }
        let response = run_plain(&self.shared, request).await;
        request.set_progress(RequestProgress::Answering);
        match response {
            Ok(response) => self.finish_with_target_response(&response, closes).await,
            Err(response) => self.finish_with_gateway_response(&response, closes).await,
        }
    }

    async fn finish_with_target_response(
        &self,
        response: &TargetResponse,
        closes: bool,
    ) -> RequestEnd {
        let closes = closes || self.shared.stopping.get();
        let status = response.head.status;
        match within(WRITE_TIMEOUT, self.stream.write(&response.encode(closes))).await {
            Some(Ok(())) => RequestEnd::answered(status, !closes),
            Some(Err(error)) => {
                RequestEnd::interrupted("caller_gone", Some(status), error.to_string())
            }
            None => RequestEnd::interrupted("caller_slow", Some(status), String::new()),
        }
    }

    async fn finish_with_gateway_response(
        &self,
        response: &GatewayResponse,
        closes: bool,
    ) -> RequestEnd {
        let keep_alive = self.write_gateway_response(response, closes).await;
        let wait = response.retry_after().map(|span| span.to_string());
        RequestEnd {
            outcome: response.code(),
            status: Some(response.status()),
            reason: wait.map_or_else(String::new, |wait| format!("retry after {wait}")),
            keep_alive,
        }
    }

    /// Writes a response of the gateway itself. Returns whether the connection
    /// can be reused.
    async fn write_gateway_response(&self, response: &GatewayResponse, closes: bool) -> bool {
        let closes = closes || response.closes() || self.shared.stopping.get();
        let message = response.encode(closes);
        let written = within(WRITE_TIMEOUT, self.stream.write(&message)).await;
        matches!(written, Some(Ok(()))) && !closes
    }
}

fn record_end(shared: &Shared, request: &ActiveRequest, end: &RequestEnd) {
    let took = shared.now().since(request.received_at);
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
