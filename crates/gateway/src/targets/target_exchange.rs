use std::{io::ErrorKind, sync::Arc};

use bytes::{Bytes, BytesMut};
use verbenahub_core::{
    clock::TimeSpan,
    policy::health::CallOutcome,
    targets::{LoadReport, RetryAfter, TargetRecord},
};
use verbenahub_platform::headers;

use super::{SendError, within};
use crate::{
    http::{
        BodyError, BodyFraming, BodyReader, HeadError, HeaderList, HttpStream, RequestHead,
        ResponseHead, response_framing,
    },
    process::Shared,
};

/// Time for a new connection. Targets take a millisecond or two; one that
/// needs more is cut off.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Answers to earlier calls that are skipped on a connection at most.
const STRAY_ANSWERS: usize = 3;
/// Status of a target that turns a request away.
const UNAVAILABLE: u16 = 503;
/// Largest body of an answer that is read whole.
const ANSWER_BYTES: usize = 8 << 20;

/// A call to a target.
#[derive(Debug)]
pub struct TargetCall<'a> {
    /// Method.
    pub method: &'a [u8],
    /// Path and query.
    pub target: &'a [u8],
    /// Headers, without those of the body.
    pub headers: HeaderList,
    /// Body, if the call has one.
    pub body: Option<&'a Bytes>,
    /// Identifier that the answer must echo, if it echoes any.
    pub request: Option<&'a str>,
    /// Time until the head of the answer.
    pub head_timeout: TimeSpan,
}

/// A call to a target whose answer has begun.
#[derive(Debug)]
pub struct TargetExchange {
    /// Head of the answer.
    pub head: ResponseHead,
    shared: Shared,
    record: Arc<TargetRecord>,
    stream: Option<HttpStream>,
    reader: BodyReader,
    framing: BodyFraming,
    flight: TargetFlight,
}

/// Counts a call at its target until its end is known. A call that is dropped
/// before says nothing about the target.
#[derive(Debug)]
struct TargetFlight {
    shared: Shared,
    record: Arc<TargetRecord>,
    outcome: CallOutcome,
}

impl TargetFlight {
    fn begin(shared: &Shared, record: &Arc<TargetRecord>) -> Self {
        shared.loads.borrow_mut().begin(&record.id);
        Self {
            shared: Shared::clone(shared),
            record: Arc::clone(record),
            outcome: CallOutcome::Cancelled,
        }
    }
}

impl Drop for TargetFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut loads = self.shared.loads.borrow_mut();
        loads.end(&self.record.id, self.outcome, now);
    }
}

impl TargetExchange {
    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the call may have run.
    pub async fn begin(
        shared: &Shared,
        record: &Arc<TargetRecord>,
        ask: TargetCall<'_>,
    ) -> Result<Self, SendError> {
        let mut flight = TargetFlight::begin(shared, record);
        let result = Self::open(shared, record, ask).await;
        match result {
            Ok((stream, head, framing)) => {
                note_load(shared, record, &head);
                if head.headers.text(headers::LEAVING).is_some_and(is_set) {
                    shared.record_leaving(record);
                }
                note_turn_away(shared, record, &head);
                flight.outcome = CallOutcome::Failed;
                Ok(Self {
                    head,
                    shared: Shared::clone(shared),
                    record: Arc::clone(record),
                    stream: Some(stream),
                    reader: BodyReader::new(framing),
                    framing,
                    flight,
                })
            }
            Err(error) => {
                flight.outcome = error.outcome();
                Err(error)
            }
        }
    }

    async fn open(
        shared: &Shared,
        record: &Arc<TargetRecord>,
        ask: TargetCall<'_>,
    ) -> Result<(HttpStream, ResponseHead, BodyFraming), SendError> {
        let mut stream = match shared.idle_connections.take(&record.id, shared.now()) {
            Some(stream) => stream,
            None => connect(shared, record).await?,
        };
        let message = encode(&ask);
        let exchange = async {
            let sent = stream.write(&message).await;
            // A target may answer before it has read everything, and close.
            let answer = read_answer(&mut stream, ask.request).await;
            match (sent, answer) {
                (_, Ok(answer)) => Ok(answer),
                (Err(error), Err(_)) => Err(SendError::Broken(error.to_string())),
                (Ok(()), Err(error)) => Err(error),
            }
        };
        let answer = within(ask.head_timeout, exchange).await;
        let (head, framing) = answer.unwrap_or(Err(SendError::Stalled))?;
        Ok((stream, head, framing))
    }

    /// The next bytes of the answer's body, or nothing at its end. After the
    /// end the connection is kept for the next call.
    ///
    /// # Errors
    ///
    /// Fails when the body doesn't reach its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        let Some(stream) = &mut self.stream else {
            return Ok(None);
        };
        match self.reader.next(stream).await {
            Ok(Some(bytes)) => Ok(Some(bytes)),
            Ok(None) => {
                self.finish();
                Ok(None)
            }
            Err(error) => {
                self.stream = None;
                Err(body_failure(&error))
            }
        }
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body doesn't reach its end or is too large.
    pub async fn collect(&mut self) -> Result<Bytes, SendError> {
        let mut whole = BytesMut::new();
        let mut reservation = self.shared.response_memory.reserve();
        while let Some(bytes) = self.next().await? {
            let is_bounded = whole.len() + bytes.len() <= ANSWER_BYTES;
            if !is_bounded || !reservation.grow(bytes.len()) {
                self.stream = None;
                self.flight.outcome = CallOutcome::Failed;
                return Err(SendError::Malformed("body too large".to_owned()));
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

    /// Whether the target turns the call away and says when to come back. That
    /// is no failure of the target.
    #[must_use]
    pub fn is_turned_away(&self) -> bool {
        turn_away_text(&self.head).is_some()
    }

    /// Counts the call as one that the target has failed, whatever its answer.
    pub fn set_outcome(&mut self, outcome: CallOutcome) {
        self.flight.outcome = outcome;
    }

    /// Says that this side gives the call up, which says nothing about the
    /// target.
    pub fn abandon(&mut self) {
        self.flight.outcome = CallOutcome::Cancelled;
    }

    fn finish(&mut self) {
        self.flight.outcome = CallOutcome::Answered;
        let Some(stream) = self.stream.take() else {
            return;
        };
        if self.framing != BodyFraming::UntilClose {
            let now = self.shared.now();
            let pool = &self.shared.idle_connections;
            pool.put(&self.record.id, stream, &self.head, now);
        }
    }
}

async fn connect(shared: &Shared, record: &TargetRecord) -> Result<HttpStream, SendError> {
    shared.metrics.target_connections.inc();
    let connected = within(CONNECT_TIMEOUT, HttpStream::connect(record.address)).await;
    match connected {
        Some(Ok(stream)) => Ok(stream),
        Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Err(SendError::Refused(error.to_string()))
        }
        Some(Err(error)) => Err(SendError::NotSent(error.to_string())),
        None => Err(SendError::NotSent("no connection in time".to_owned())),
    }
}

fn encode(ask: &TargetCall<'_>) -> BytesMut {
    let mut fields = ask.headers.clone();
    if let Some(body) = ask.body {
        fields.push("Content-Length", body.len().to_string());
    }
    let mut message = RequestHead::encode(ask.method, ask.target, &fields);
    if let Some(body) = ask.body {
        message.extend_from_slice(body);
    }
    message
}

/// Reads the head of the answer to a request. Answers to earlier requests that
/// come late on the connection are skipped.
async fn read_answer(
    stream: &mut HttpStream,
    request: Option<&str>,
) -> Result<(ResponseHead, BodyFraming), SendError> {
    for _ in 0..=STRAY_ANSWERS {
        let head = stream
            .read_response()
            .await
            .map_err(|error| head_failure(&error))?;
        let framing = response_framing(head.status, &head.headers)
            .map_err(|error| SendError::Malformed(error.to_string()))?;
        let echoed = head.headers.text(headers::REQUEST_ID);
        let is_other = matches!((request, echoed), (Some(own), Some(echoed)) if own != echoed);
        if !is_other {
            return Ok((head, framing));
        }
        let stray = BodyReader::new(framing);
        let skipped = stray.collect(stream, ANSWER_BYTES).await;
        skipped.map_err(|error| body_failure(&error))?;
    }
    Err(SendError::Malformed("answers to other requests".to_owned()))
}

fn note_load(shared: &Shared, record: &TargetRecord, head: &ResponseHead) {
    let Some(text) = head.headers.text(headers::LOAD) else {
        return;
    };
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    if let (Some(running), Some(waiting), Some(slots)) = (next(), next(), next()) {
        let report = LoadReport {
            running,
            waiting,
            slots,
            at: shared.now(),
        };
        shared.loads.borrow_mut().report(&record.id, report);
    }
}

/// Whether a header that says yes or no says yes.
fn is_set(text: &str) -> bool {
    text.trim() == "1"
}

/// Takes note of a target that turns a request away for a while.
fn note_turn_away(shared: &Shared, record: &TargetRecord, head: &ResponseHead) {
    let Some(text) = turn_away_text(head) else {
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

fn turn_away_text(head: &ResponseHead) -> Option<&str> {
    let is_busy = head.status == UNAVAILABLE;
    head.headers.text(headers::RETRY_AFTER).filter(|_| is_busy)
}

fn head_failure(error: &HeadError) -> SendError {
    match error {
        HeadError::Io(_) | HeadError::Truncated => SendError::Broken(error.to_string()),
        HeadError::TooLarge(_)
        | HeadError::Syntax(_)
        | HeadError::Framing(_)
        | HeadError::Interim => SendError::Malformed(error.to_string()),
    }
}

fn body_failure(error: &BodyError) -> SendError {
    match error {
        BodyError::Io(_) | BodyError::Truncated => SendError::Broken(error.to_string()),
        BodyError::Chunk | BodyError::TooLarge(_) => SendError::Malformed(error.to_string()),
    }
}
