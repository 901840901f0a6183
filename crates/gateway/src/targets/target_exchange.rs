use std::{io::ErrorKind, mem, ops::Range, sync::Arc};

use bytes::{Bytes, BytesMut};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    policy::health::CallOutcome,
    targets::{AnswerHistory, LoadReport, RequestLimit, RetryAfter, TargetRecord},
};
use verbenahub_platform::headers;

use super::{CallPurpose, SendError, SendPermit, TargetConnection, within};
use crate::{
    http::{
        BodyError, BodyFraming, BodyReader, HeadError, HeaderList, HttpStream, RequestHead,
        ResponseHead, response_framing,
    },
    process::Shared,
};

/// Timeout for establishing a connection. Targets usually accept within 1 or 2
/// ms; one that takes this long is unreachable.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Maximum number of late responses to earlier calls that are skipped on a
/// connection.
const MAX_STRAY_RESPONSES: usize = 3;
/// Status of a target that refuses a request temporarily.
const SERVICE_UNAVAILABLE: u16 = 503;
/// Status of a target that is not the one named in the request.
const MISDIRECTED: u16 = 421;
/// Statuses of requests that were processed.
const SUCCESS: Range<u16> = 200..300;
/// Maximum size of a response body that is buffered completely.
const MAX_RESPONSE_BODY_BYTES: usize = 8 << 20;

/// A call to be sent to a target.
#[derive(Debug)]
pub struct TargetCall<'a> {
    /// HTTP method.
    pub method: &'a [u8],
    /// Request target: path and query.
    pub target: &'a [u8],
    /// Headers, without those of the body's framing.
    pub headers: HeaderList,
    /// Body, if any.
    pub body: Option<&'a Bytes>,
    /// Identifier of the request. A response that echoes a different identifier
    /// belongs to another call.
    pub request: Option<&'a str>,
    /// What the call is for.
    pub purpose: CallPurpose,
    /// Timeout for the head of the response.
    pub head_timeout: TimeSpan,
}

/// A call to a target whose response head was received.
#[derive(Debug)]
pub struct TargetExchange {
    /// Head of the response.
    pub head: ResponseHead,
    shared: Shared,
    record: Arc<TargetRecord>,
    stream: Option<HttpStream>,
    /// Answers to earlier calls on the connection.
    history: AnswerHistory,
    reader: BodyReader,
    framing: BodyFraming,
    /// Whether the target has sent a response that belongs to no call on this
    /// connection.
    had_stray: bool,
    /// Whether the connection was used for other calls before.
    is_reused: bool,
    /// Whether the connection is held back at the end of the response.
    is_held_back: bool,
    /// Connection that was held back.
    held_back: Option<HttpStream>,
    in_flight: InFlightCall,
}

/// Counts a call as in flight at its target, and records its outcome when
/// dropped. A call that is dropped before its outcome is known counts as
/// cancelled, which says nothing about the target.
#[derive(Debug)]
struct InFlightCall {
    shared: Shared,
    record: Arc<TargetRecord>,
    outcome: CallOutcome,
}

impl InFlightCall {
    fn begin(shared: &Shared, record: &Arc<TargetRecord>) -> Self {
        shared.loads.borrow_mut().begin(&record.id);
        Self {
            shared: Shared::clone(shared),
            record: Arc::clone(record),
            outcome: CallOutcome::Cancelled,
        }
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut loads = self.shared.loads.borrow_mut();
        loads.end(&self.record.id, self.outcome, now);
    }
}

impl TargetExchange {
    /// Sends a call and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails when no valid head arrives in time. [`SendError::is_not_run`] tells
    /// whether the call may have run.
    pub async fn begin(
        shared: &Shared,
        permit: SendPermit,
        call: TargetCall<'_>,
    ) -> Result<Self, SendError> {
        let record = &permit.into_record();
        let mut in_flight = InFlightCall::begin(shared, record);
        let (purpose, sent_at) = (call.purpose, shared.now());
        log_limited_send(shared, record, &call);
        let result = Self::open(shared, record, call).await;
        match result {
            Ok((connection, received)) => {
                let TargetConnection { stream, history } = connection;
                let ReceivedHead {
                    head,
                    framing,
                    had_stray,
                    is_reused,
                } = received;
                record_load(shared, record, &head);
                if head.headers.text(headers::LEAVING).is_some_and(is_flag_set) {
                    shared.record_leaving(record);
                }
                record_retry_after(shared, record, &head);
                record_limit(shared, record, &head, purpose, sent_at);
                in_flight.outcome = CallOutcome::Failed;
                Ok(Self {
                    head,
                    shared: Shared::clone(shared),
                    record: Arc::clone(record),
                    stream: Some(stream),
                    history,
                    reader: BodyReader::new(framing),
                    framing,
                    had_stray,
                    is_reused,
                    is_held_back: false,
                    held_back: None,
                    in_flight,
                })
            }
            Err(error) => {
                in_flight.outcome = error.outcome();
                Err(error)
            }
        }
    }

    async fn open(
        shared: &Shared,
        record: &Arc<TargetRecord>,
        call: TargetCall<'_>,
    ) -> Result<(TargetConnection, ReceivedHead), SendError> {
        let idle = shared.idle_connections.take(&record.id, shared.now());
        let is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => TargetConnection::new(connect(shared, record, call.purpose).await?),
        };
        let stream = &mut connection.stream;
        let message = encode(&call);
        let exchange = async {
            let sent = stream.write(&message).await;
            // A target may respond and close the connection before it has read
            // the whole request, so a response counts even if writing failed.
            let response = read_response_head(stream, call.request, is_reused).await;
            match (sent, response) {
                (_, Ok(response)) => Ok(response),
                (Err(error), Err(_)) => Err(SendError::ConnectionLost(error.to_string())),
                (Ok(()), Err(error)) => Err(error),
            }
        };
        let response = within(call.head_timeout, exchange).await;
        let received = response.unwrap_or(Err(SendError::Stalled))?;
        Ok((connection, received))
    }

    /// Reads the next bytes of the body. Returns `None` at its end, after which
    /// the connection is kept for the next call.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or the body is malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        let Some(stream) = &mut self.stream else {
            return Ok(None);
        };
        match self.reader.next(stream).await {
            Ok(Some(bytes)) => {
                let received = &self.shared.metrics.target_body_bytes;
                received
                    .with_label_values(&[self.record.service.as_str()])
                    .inc_by(bytes.len() as u64);
                Ok(Some(bytes))
            }
            Ok(None) => {
                self.finish();
                Ok(None)
            }
            Err(error) => {
                self.stream = None;
                Err(body_send_error(&error))
            }
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails when the body is incomplete, malformed or too large, or the memory
    /// for buffered responses is used up.
    pub async fn collect(&mut self) -> Result<Bytes, SendError> {
        let mut whole = BytesMut::new();
        let mut reservation = self.shared.response_memory.reserve();
        while let Some(bytes) = self.next().await? {
            let is_bounded = whole.len() + bytes.len() <= MAX_RESPONSE_BODY_BYTES;
            if !is_bounded || !reservation.grow(bytes.len()) {
                self.stream = None;
                self.in_flight.outcome = CallOutcome::Failed;
                return Err(SendError::Malformed("response body too large".to_owned()));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    }

    /// The target that was called.
    #[must_use]
    pub const fn record(&self) -> &Arc<TargetRecord> {
        &self.record
    }

    /// Whether the target refused the call with 503 and a `Retry-After` header,
    /// which is not a failure of the target.
    #[must_use]
    pub fn is_temporary_refusal(&self) -> bool {
        retry_after_text(&self.head).is_some()
    }

    /// Whether the response has neither a length nor chunks, so that only the end of
    /// its connection ends it.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Closes the connection, so that the target stops working on the call.
    pub fn close(&mut self) {
        self.stream = None;
        self.held_back = None;
    }

    /// Whether the connection is open and the response has not ended.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether the connection was used for other calls before, so that the response
    /// may be a late copy of an earlier one.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Holds the connection back at the end of the response. It is closed with the
    /// exchange unless [`Self::release_connection`] is called.
    pub const fn hold_connection(&mut self) {
        self.is_held_back = true;
    }

    /// Keeps the connection that was held back for the next call. The caller must be
    /// certain that the response belongs to this call: otherwise the response to this
    /// call has yet to arrive on the connection, and would be taken for the next one's.
    pub fn release_connection(&mut self) {
        if let Some(stream) = self.held_back.take() {
            self.keep(stream);
        }
    }

    /// Records the names of the results in the answer. Returns false if the answer is
    /// a copy of an earlier one on the connection.
    pub fn record_results<'a, Names>(&mut self, names: Names) -> bool
    where
        Names: IntoIterator<Item = &'a str>,
    {
        self.history.try_insert(names)
    }

    /// Sets the outcome that is recorded for the target, whatever the response.
    pub fn set_outcome(&mut self, outcome: CallOutcome) {
        self.in_flight.outcome = outcome;
    }

    /// Records that this side cancelled the call, which says nothing about the
    /// target.
    pub fn cancel(&mut self) {
        self.in_flight.outcome = CallOutcome::Cancelled;
    }

    fn finish(&mut self) {
        self.in_flight.outcome = CallOutcome::Answered;
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.framing != BodyFraming::UntilClose && !self.had_stray {
            if self.is_held_back {
                self.held_back = Some(stream);
            } else {
                self.keep(stream);
            }
        }
    }

    fn keep(&mut self, stream: HttpStream) {
        let history = mem::take(&mut self.history);
        let connection = TargetConnection { stream, history };
        let pool = &self.shared.idle_connections;
        pool.put(&self.record.id, connection, &self.head, self.shared.now());
    }
}

async fn connect(
    shared: &Shared,
    record: &TargetRecord,
    purpose: CallPurpose,
) -> Result<HttpStream, SendError> {
    shared.metrics.target_connections.inc();
    let connected = within(CONNECT_TIMEOUT, HttpStream::connect(record.address)).await;
    let stream = match connected {
        Some(Ok(stream)) => stream,
        Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(SendError::ConnectionRefused(error.to_string()));
        }
        Some(Err(error)) => return Err(SendError::NotSent(error.to_string())),
        None => return Err(SendError::NotSent("no connection in time".to_owned())),
    };
    if !shared.accepts_call(record, purpose) {
        let reason = "departed while the connection was established".to_owned();
        return Err(SendError::NotSent(reason));
    }
    Ok(stream)
}

fn encode(call: &TargetCall<'_>) -> BytesMut {
    let mut fields = call.headers.clone();
    if let Some(body) = call.body {
        fields.push("Content-Length", body.len().to_string());
    }
    let mut message = RequestHead::encode(call.method, call.target, &fields);
    if let Some(body) = call.body {
        message.extend_from_slice(body);
    }
    message
}

/// Head of the response to a call.
struct ReceivedHead {
    head: ResponseHead,
    framing: BodyFraming,
    /// Whether responses to other calls came before it.
    had_stray: bool,
    /// Whether the connection was used for other calls before.
    is_reused: bool,
}

/// Reads the head of the response to a request. Late responses to earlier
/// requests on the same connection are skipped. On a connection that was used
/// before, a refusal that names no request may be a copy of an earlier one, so it
/// is no proof that this request has not run.
async fn read_response_head(
    stream: &mut HttpStream,
    request: Option<&str>,
    is_reused: bool,
) -> Result<ReceivedHead, SendError> {
    for strays in 0..=MAX_STRAY_RESPONSES {
        let head = stream
            .read_response()
            .await
            .map_err(|error| head_send_error(&error))?;
        let framing = response_framing(head.status, &head.headers)
            .map_err(|error| SendError::Malformed(error.to_string()))?;
        let echoed = head.headers.text(headers::REQUEST_ID);
        let is_other = matches!((request, echoed), (Some(own), Some(echoed)) if own != echoed);
        let is_refusal = head.headers.get(headers::NOT_RUN).is_some();
        if is_refusal && is_reused && request.is_some() && echoed.is_none() {
            let reason = "refusal that names no request".to_owned();
            return Err(SendError::Malformed(reason));
        }
        if !is_other {
            return Ok(ReceivedHead {
                head,
                framing,
                had_stray: strays > 0,
                is_reused,
            });
        }
        let stray = BodyReader::new(framing);
        let skipped = stray.skip(stream, MAX_RESPONSE_BODY_BYTES).await;
        skipped.map_err(|error| body_send_error(&error))?;
    }
    Err(SendError::Malformed(
        "responses to other requests".to_owned(),
    ))
}

fn record_load(shared: &Shared, record: &TargetRecord, head: &ResponseHead) {
    let Some(text) = head.headers.text(headers::LOAD) else {
        return;
    };
    if let Some(report) = LoadReport::decode(text, shared.now()) {
        shared.loads.borrow_mut().report(&record.id, report);
    }
}

/// Logs and counts a call to a target that has a limit.
fn log_limited_send(shared: &Shared, record: &TargetRecord, call: &TargetCall<'_>) {
    let Some(limited) = shared.request_limit(record) else {
        return;
    };
    let purpose = call.purpose.label();
    let sends = &shared.metrics.limited_sends;
    sends
        .with_label_values(&[record.service.as_str(), purpose])
        .inc();
    slog::info!(shared.log, "targets: Sent to a limited target.";
        "target" => %record.id, "service" => %record.service, "purpose" => purpose,
        "request" => call.request.map(str::to_owned), "limit" => %limited.limit, "cold_left" => %limited.cold_left,
        "limit_age" => limited.named_age.map(|age| age.to_string()));
}

/// Records the limit that a response names. Only complete work shows that a limit
/// no longer applies: a refusal may come from something in front of the target,
/// and one with 421 comes from another target at the same address.
fn record_limit(
    shared: &Shared,
    record: &TargetRecord,
    head: &ResponseHead,
    purpose: CallPurpose,
    sent_at: ClockTime,
) {
    if head.status == MISDIRECTED {
        return;
    }
    let mut is_unnamed = purpose != CallPurpose::Free && SUCCESS.contains(&head.status);
    let mut lowest: Option<RequestLimit> = None;
    for value in head.headers.all(headers::LIMIT) {
        is_unnamed = false;
        match String::from_utf8_lossy(value).parse::<RequestLimit>() {
            Ok(limit) => lowest = Some(lowest.map_or(limit, |lowest| lowest.min(limit))),
            Err(error) => slog::warn!(shared.log, "targets: Limit not usable.";
                "target" => %record.id, "error" => %error),
        }
    }
    if lowest.is_some() || is_unnamed {
        shared.record_limit(record, lowest, sent_at);
    }
}

/// Whether the value of a boolean header is true.
fn is_flag_set(text: &str) -> bool {
    text.trim() == "1"
}

/// Closes a target for new requests until the time given in its refusal.
fn record_retry_after(shared: &Shared, record: &TargetRecord, head: &ResponseHead) {
    let Some(text) = retry_after_text(head) else {
        return;
    };
    match text.parse::<RetryAfter>() {
        Ok(turn) => {
            let until = turn.end(shared.now());
            shared.loads.borrow_mut().set_backoff(record, until);
            slog::info!(shared.log, "targets: Turns requests away.";
                "target" => %record.id, "service" => %record.service, "for" => %turn.duration());
        }
        Err(error) => slog::warn!(shared.log, "targets: Time to come back not usable.";
            "target" => %record.id, "error" => %error),
    }
}

fn retry_after_text(head: &ResponseHead) -> Option<&str> {
    let is_busy = head.status == SERVICE_UNAVAILABLE;
    head.headers.text(headers::RETRY_AFTER).filter(|_| is_busy)
}

fn head_send_error(error: &HeadError) -> SendError {
    match error {
        HeadError::Io(_) | HeadError::Truncated => SendError::ConnectionLost(error.to_string()),
        HeadError::TooLarge(_)
        | HeadError::Syntax(_)
        | HeadError::Framing(_)
        | HeadError::InvalidStatus(_)
        | HeadError::InterimBody(_)
        | HeadError::TooManyInterimResponses => SendError::Malformed(error.to_string()),
    }
}

fn body_send_error(error: &BodyError) -> SendError {
    match error {
        BodyError::Io(_) | BodyError::Truncated => SendError::ConnectionLost(error.to_string()),
        BodyError::MalformedChunk | BodyError::TooLarge(_) => {
            SendError::Malformed(error.to_string())
        }
    }
}
