use verbenahub_core::protocol::{AnswerEvent, AnswerOutcome, ErrorBody};

use crate::network::{CallError, HttpAnswer};

/// What a caller knows after a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerVerdict {
    /// The answer is whole.
    Whole(Vec<u8>),
    /// The system said what became of the request.
    Told(ErrorBody),
    /// The answer broke off without an ending, or there was none.
    Cut(String),
    /// The answer breaks the protocol.
    Malformed(String),
}

impl CallerVerdict {
    /// Reads the answer of a pipeline whose last stage generates.
    #[must_use]
    pub fn of_stream(answer: Result<HttpAnswer, CallError>) -> Self {
        match answer {
            Err(error) => Self::Cut(error.to_string()),
            Ok(answer) if answer.status == 200 => read_stream(&answer),
            Ok(answer) => Self::of_error(&answer),
        }
    }

    /// Reads the answer of any other pipeline.
    #[must_use]
    pub fn of_bytes(answer: Result<HttpAnswer, CallError>) -> Self {
        match answer {
            Err(error) => Self::Cut(error.to_string()),
            Ok(answer) if answer.status == 200 && answer.broken => {
                Self::Cut("the body broke off".to_owned())
            }
            Ok(answer) if answer.status == 200 => Self::Whole(answer.body),
            Ok(answer) => Self::of_error(&answer),
        }
    }

    /// Reads an answer that is no success.
    #[must_use]
    pub fn of_error(answer: &HttpAnswer) -> Self {
        match answer.json() {
            Some(body) => Self::Told(body),
            None if answer.broken => Self::Cut("the error broke off".to_owned()),
            None => Self::Malformed(format!("{}: {}", answer.status, answer.text())),
        }
    }

    /// The whole answer, if it is that.
    #[must_use]
    pub fn whole(&self) -> Option<&[u8]> {
        match self {
            Self::Whole(body) => Some(body),
            _ => None,
        }
    }

    /// The error body of a request that was not run.
    #[must_use]
    pub fn not_run(&self) -> Option<&ErrorBody> {
        match self {
            Self::Told(body) if body.outcome == AnswerOutcome::NotRun => Some(body),
            _ => None,
        }
    }
}

fn read_stream(answer: &HttpAnswer) -> CallerVerdict {
    let mut text = String::new();
    let mut received = 0;
    for line in answer.body.split_inclusive(|byte| *byte == b'\n') {
        let event = match serde_json::from_slice(line) {
            Ok(event) => event,
            Err(_) if answer.broken => break,
            Err(error) => return CallerVerdict::Malformed(error.to_string()),
        };
        match event {
            AnswerEvent::Chunk { offset, .. } if offset != received => {
                let message = format!("offset {offset} after {received} tokens");
                return CallerVerdict::Malformed(message);
            }
            AnswerEvent::Chunk {
                tokens,
                text: piece,
                ..
            } => {
                received += tokens;
                text.push_str(&piece);
            }
            AnswerEvent::End { tokens, .. } if tokens == received => {
                return CallerVerdict::Whole(text.into_bytes());
            }
            AnswerEvent::End { tokens, .. } => {
                let message = format!("end at {tokens} after {received} tokens");
                return CallerVerdict::Malformed(message);
            }
            AnswerEvent::Error(body) => return CallerVerdict::Told(body),
        }
    }
    CallerVerdict::Cut(format!("no ending after {received} tokens"))
}
