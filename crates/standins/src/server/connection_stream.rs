use std::{
    future,
    io::Result,
    net::Shutdown,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use super::FaultSwitches;

/// A connection to a stand-in, which can be made silent.
#[derive(Clone, Debug)]
pub struct ConnectionStream {
    stream: TcpStream,
    switches: Arc<FaultSwitches>,
    /// Number of the connection, counted from 0.
    pub number: u64,
}

impl ConnectionStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream, switches: Arc<FaultSwitches>, number: u64) -> Self {
        Self {
            stream,
            switches,
            number,
        }
    }

    /// Breaks the connection in both directions.
    pub fn cut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Waits until the other end has closed the connection.
    ///
    /// Waits for ever when the other end has sent more data instead.
    pub async fn closed(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        if self.switches.is_silent(self.number) {
            return Poll::Ready(Ok(buffer.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.switches.is_silent(self.number) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_close(context)
    }
}
