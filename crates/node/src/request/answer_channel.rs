use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes};
use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use serde::Serialize;
use thiserror::Error;

/// Number of lines buffered for a slow caller before the sender blocks.
const CHANNEL_LINES: usize = 64;

/// Sending half of a streamed answer.
#[derive(Clone, Debug)]
pub struct AnswerSender {
    lines: Sender<Bytes>,
}

/// The caller closed the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the caller closed the connection")]
pub struct CallerGone;

/// Receiving half of a streamed answer, used as the body of the response.
#[derive(Debug)]
pub struct AnswerReader {
    lines: Pin<Box<Receiver<Bytes>>>,
    current: Bytes,
    drop_guard: Sender<()>,
    drop_signal: Box<Receiver<()>>,
}

/// Creates a bounded channel for the lines of a streamed answer.
#[must_use]
pub fn answer_channel() -> (AnswerSender, AnswerReader) {
    let (sender, receiver) = async_channel::bounded(CHANNEL_LINES);
    let (drop_guard, drop_signal) = async_channel::bounded(1);
    let reader = AnswerReader {
        lines: Box::pin(receiver),
        current: Bytes::new(),
        drop_guard,
        drop_signal: Box::new(drop_signal),
    };
    (AnswerSender { lines: sender }, reader)
}

impl AnswerSender {
    /// Sends an event as one line. Waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// Fails if the reader was dropped because the caller's connection closed.
    pub async fn send<Event>(&self, event: &Event) -> Result<(), CallerGone>
    where
        Event: Serialize + Sync,
    {
        let line = encode_line(event);
        self.lines.send(line).await.map_err(|_| CallerGone)
    }
}

impl AnswerReader {
    /// Returns a channel that closes when the reader is dropped, which means
    /// that the answer was sent completely or the caller's connection closed.
    #[must_use]
    pub fn drop_signal(&self) -> Receiver<()> {
        self.drop_signal.as_ref().clone()
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.drop_guard.close();
    }
}

/// Encodes an event as one line of JSON.
#[must_use]
pub fn encode_line<Event>(event: &Event) -> Bytes
where
    Event: Serialize,
{
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

impl AsyncBufRead for AnswerReader {
    fn poll_fill_buf(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<&[u8]>> {
        while self.current.is_empty() {
            match ready!(self.lines.as_mut().poll_next(context)) {
                Some(line) => self.current = line,
                None => break,
            }
        }
        Poll::Ready(Ok(self.get_mut().current.chunk()))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.current.advance(amount);
    }
}

impl AsyncRead for AnswerReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
