use async_channel::Sender;
use bytes::Bytes;
use verbenahub_core::{
    clock::ClockTime,
    protocol::{AnswerEvent, AnswerOutcome},
    request::FinalOutcome,
};

use super::{AnswerHead, AnswerSender, RequestRefusal, answer_channel::CallerGone};

/// Destination of the answer to one request.
#[derive(Debug)]
pub struct AnswerSink {
    head: Sender<AnswerHead>,
    lines: Option<AnswerSender>,
    first_token: Option<ClockTime>,
}

impl AnswerSink {
    /// Creates a sink. The answer is streamed to `lines` if given, and
    /// otherwise sent as a single body.
    #[must_use]
    pub const fn new(head: Sender<AnswerHead>, lines: Option<AnswerSender>) -> Self {
        Self {
            head,
            lines,
            first_token: None,
        }
    }

    /// Time at which the first token was forwarded, if any was.
    #[must_use]
    pub const fn first_token(&self) -> Option<ClockTime> {
        self.first_token
    }

    /// Forwards tokens to the caller. Does nothing if the answer is not
    /// streamed.
    ///
    /// # Errors
    ///
    /// Fails if the caller closed the connection.
    pub async fn deliver(
        &mut self,
        offset: u64,
        tokens: u64,
        text: &Bytes,
        now: ClockTime,
    ) -> Result<(), CallerGone> {
        let Some(lines) = &self.lines else {
            return Ok(());
        };
        if self.first_token.is_none() {
            self.first_token = Some(now);
            let sent = self.head.send(AnswerHead::Stream).await;
            sent.map_err(|_| CallerGone)?;
        }
        let text = String::from_utf8_lossy(text).into_owned();
        lines
            .send(&AnswerEvent::Chunk {
                offset,
                tokens,
                text,
            })
            .await
    }

    /// Completes the answer with its outcome. `body` and `tokens` are the result
    /// of the last stage.
    pub async fn finish(self, outcome: &FinalOutcome, body: Bytes, tokens: u64) {
        // Sending fails only if the caller closed the connection, and then there
        // is no one to report the failure to.
        let _ = match (outcome.error_body(), &self.lines) {
            (Some(error), Some(lines)) if self.first_token.is_some() => {
                lines.send(&AnswerEvent::Error(error)).await
            }
            (Some(error), _) => self.send_head(AnswerHead::Error(error.into())).await,
            (None, None) => self.send_head(AnswerHead::Unary(body)).await,
            (None, Some(lines)) => self.send_end(lines, outcome, tokens).await,
        };
    }

    async fn send_end(
        &self,
        lines: &AnswerSender,
        outcome: &FinalOutcome,
        tokens: u64,
    ) -> Result<(), CallerGone> {
        if self.first_token.is_none() {
            self.send_head(AnswerHead::Stream).await?;
        }
        let request = outcome.request().clone();
        let outcome = AnswerOutcome::Done;
        let event = AnswerEvent::End {
            request,
            outcome,
            tokens,
        };
        lines.send(&event).await
    }

    async fn send_head(&self, head: AnswerHead) -> Result<(), CallerGone> {
        self.head.send(head).await.map_err(|_| CallerGone)
    }
}

impl From<RequestRefusal> for AnswerHead {
    fn from(refusal: RequestRefusal) -> Self {
        Self::Error(refusal)
    }
}
