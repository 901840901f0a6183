use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::{Body, Request};

/// A request body that records whether it was read to its end.
///
/// `async_h1` reads the part of a body that a handler left unread through a
/// buffer and discards that buffer, with any bytes of the next request in it.
/// So a connection whose request was not read to its end cannot be reused.
#[derive(Debug)]
pub struct TrackedBody {
    body: Body,
    remaining: Option<usize>,
    fully_read: Arc<AtomicBool>,
}

/// Tells whether the body of a request was read to its end.
#[derive(Clone, Debug)]
pub struct BodyWatch(Arc<AtomicBool>);

impl BodyWatch {
    /// Replaces the body of a request by a tracked one.
    #[must_use]
    pub fn attach(request: &mut Request) -> Self {
        let length = request.len();
        let fully_read = Arc::new(AtomicBool::new(length == Some(0)));
        let body = TrackedBody {
            body: request.take_body(),
            remaining: length,
            fully_read: Arc::clone(&fully_read),
        };
        request.set_body(Body::from_reader(body, length));
        Self(fully_read)
    }

    /// Whether the body was read to its end.
    #[must_use]
    pub fn is_fully_read(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl AsyncBufRead for TrackedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let tracked = self.get_mut();
        let result = Pin::new(&mut tracked.body).poll_fill_buf(context);
        if matches!(result, Poll::Ready(Ok([]))) {
            tracked.fully_read.store(true, Ordering::Relaxed);
        }
        result
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(amount));
        if self.remaining == Some(0) {
            self.fully_read.store(true, Ordering::Relaxed);
        }
        Pin::new(&mut self.body).consume(amount);
    }
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = std::task::ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
