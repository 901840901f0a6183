use std::{
    io::Result,
    pin::Pin,
    task::{Context, Poll, ready},
};

use async_channel::Receiver;
use bytes::{Buf, Bytes};
use futures_lite::{
    Stream,
    io::{AsyncBufRead, AsyncRead},
};

/// Body of an answer that is written while it is sent.
#[derive(Debug)]
pub struct LineBody {
    lines: Pin<Box<Receiver<Bytes>>>,
    rest: Bytes,
}

impl LineBody {
    /// Creates a body from the lines to send. The body ends with the channel.
    #[must_use]
    pub fn new(lines: Receiver<Bytes>) -> Self {
        let lines = Box::pin(lines);
        let rest = Bytes::new();
        Self { lines, rest }
    }
}

impl AsyncBufRead for LineBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<&[u8]>> {
        let body = self.get_mut();
        while body.rest.is_empty() {
            match ready!(body.lines.as_mut().poll_next(context)) {
                Some(line) => body.rest = line,
                None => break,
            }
        }
        Poll::Ready(Ok(&body.rest))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().rest.advance(count);
    }
}

impl AsyncRead for LineBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
