use verbenahub_core::protocol::{AnswerEvent, AnswerOutcome};

use super::{AnswerSink, step_end::StepEnd};
use crate::http::{ClientError, LineReader};

/// Reads a streamed answer and checks that it is whole and in order.
#[derive(Debug)]
pub(super) struct StreamCheck {
    lines: LineReader,
    request: Option<String>,
    tokens: u64,
    bytes: u64,
}

/// How a stream ended.
#[derive(Debug)]
pub(super) struct StreamEnd {
    /// How the call ended.
    pub(super) end: StepEnd,
    /// Tokens received.
    pub(super) tokens: u64,
    /// Bytes of text received.
    pub(super) bytes: u64,
}

impl StreamCheck {
    /// Creates a check of the answer to `request`.
    pub(super) fn new(lines: LineReader, request: Option<String>) -> Self {
        Self {
            lines,
            request,
            tokens: 0,
            bytes: 0,
        }
    }

    /// Passes all pieces on until the stream ends.
    pub(super) async fn run<S>(mut self, sink: &mut S) -> StreamEnd
    where
        S: AnswerSink,
    {
        let end = loop {
            let line = self.lines.next().await;
            if let Some(end) = self.take_line(line, sink) {
                break end;
            }
        };
        let (tokens, bytes) = (self.tokens, self.bytes);
        let end = match (&end, self.lines.finish().await) {
            (StepEnd::Whole, Err(error)) => StepEnd::Damaged(error.to_string()),
            _ => end,
        };
        StreamEnd { end, tokens, bytes }
    }

    fn take_line<S>(
        &mut self,
        line: Result<Option<Vec<u8>>, ClientError>,
        sink: &mut S,
    ) -> Option<StepEnd>
    where
        S: AnswerSink,
    {
        match line {
            Ok(Some(line)) => match serde_json::from_slice(&line) {
                Ok(event) => self.take_event(event, sink),
                Err(error) => Some(StepEnd::Damaged(format!("a line is no event: {error}"))),
            },
            Ok(None) => Some(StepEnd::Damaged("the stream was cut off".to_owned())),
            Err(error) => Some(StepEnd::Damaged(error.to_string())),
        }
    }

    fn take_event<S>(&mut self, event: AnswerEvent, sink: &mut S) -> Option<StepEnd>
    where
        S: AnswerSink,
    {
        match event {
            AnswerEvent::Chunk {
                offset,
                tokens,
                text,
            } => {
                if offset != self.tokens {
                    let message = format!("offset {offset} came after {} tokens", self.tokens);
                    return Some(StepEnd::Damaged(message));
                }
                self.tokens += tokens;
                self.bytes += text.len() as u64;
                sink.take_tokens(tokens, &text);
                None
            }
            AnswerEvent::End {
                request,
                outcome,
                tokens,
            } => Some(self.check_end(request.as_str(), outcome, tokens)),
            AnswerEvent::Error(body) => Some(StepEnd::Refused(body)),
        }
    }

    fn check_end(&self, request: &str, outcome: AnswerOutcome, tokens: u64) -> StepEnd {
        let expected = self.request.as_deref().unwrap_or(request);
        if request != expected {
            let message = format!("the end is that of {request}, not of {expected}");
            return StepEnd::Damaged(message);
        }
        if tokens != self.tokens || outcome != AnswerOutcome::Done {
            let received = self.tokens;
            let message = format!("the end says {outcome} and {tokens} tokens, {received} came");
            return StepEnd::Damaged(message);
        }
        StepEnd::Whole
    }
}
