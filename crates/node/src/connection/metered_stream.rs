use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// Number of reads in a row that find bytes ready before the task yields. Without
/// it, a peer that sends faster than its bytes are processed would keep a thread
/// from all other tasks and timers.
const MAX_READY_READS: u32 = 4;

/// A TCP stream that counts the bytes read and written and limits the bytes read.
///
/// Clones share the connection and its counters.
#[derive(Clone, Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<StreamMeter>,
}

#[derive(Debug)]
struct StreamMeter {
    read_bytes: AtomicU64,
    /// Total number of bytes that may have been read, not what is left.
    read_budget: AtomicU64,
    written_bytes: AtomicU64,
    write_pending: AtomicBool,
    reading_stopped: AtomicBool,
    /// Reads since the last one that had to wait, or since the task last yielded.
    ready_reads: AtomicU32,
}

impl MeteredStream {
    /// Wraps a connected stream, without a limit on the bytes read.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let meter = StreamMeter {
            read_bytes: AtomicU64::new(0),
            read_budget: AtomicU64::new(u64::MAX),
            written_bytes: AtomicU64::new(0),
            write_pending: AtomicBool::new(false),
            reading_stopped: AtomicBool::new(false),
            ready_reads: AtomicU32::new(0),
        };
        Self {
            stream,
            meter: Arc::new(meter),
        }
    }

    /// The wrapped TCP stream. Reads from it are neither counted nor limited.
    #[must_use]
    pub const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Allows `bytes` more bytes to be read from now on.
    pub fn set_read_budget(&self, bytes: u64) {
        let limit = self.read_bytes().saturating_add(bytes);
        self.meter.read_budget.store(limit, Ordering::Relaxed);
    }

    /// Bytes read so far.
    #[must_use]
    pub fn read_bytes(&self) -> u64 {
        self.meter.read_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that the operating system has accepted for sending so far.
    #[must_use]
    pub fn written_bytes(&self) -> u64 {
        self.meter.written_bytes.load(Ordering::Relaxed)
    }

    /// Whether the last write is blocked because the peer does not read.
    #[must_use]
    pub fn write_pending(&self) -> bool {
        self.meter.write_pending.load(Ordering::Relaxed)
    }

    /// Whether the read budget is exhausted.
    #[must_use]
    pub fn is_read_budget_exhausted(&self) -> bool {
        self.read_bytes() >= self.meter.read_budget.load(Ordering::Relaxed)
    }

    /// Makes all further reads report the end of the stream, so that nothing
    /// waits for the rest of a body that is no longer needed.
    pub fn stop_reading(&self) {
        self.meter.reading_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether [`stop_reading`](Self::stop_reading) was called.
    #[must_use]
    pub fn has_stopped_reading(&self) -> bool {
        self.meter.reading_stopped.load(Ordering::Relaxed)
    }

    /// Resolves when the peer has closed its side of the connection or the
    /// connection fails.
    ///
    /// Only meaningful while nothing else reads from the stream. Never resolves
    /// if data arrives first.
    pub async fn closed_by_peer(&self) {
        let mut byte = [0_u8; 1];
        if matches!(self.stream.peek(&mut byte).await, Ok(1..)) {
            std::future::pending::<()>().await;
        }
    }

    fn record_read(&self, result: &Poll<io::Result<usize>>) {
        let ready_reads = &self.meter.ready_reads;
        if result.is_pending() {
            ready_reads.store(0, Ordering::Relaxed);
        } else {
            ready_reads.fetch_add(1, Ordering::Relaxed);
        }
        if let Poll::Ready(Ok(bytes)) = result {
            self.meter
                .read_bytes
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        let pending = result.is_pending();
        self.meter.write_pending.store(pending, Ordering::Relaxed);
        if let Poll::Ready(Ok(bytes)) = result {
            self.meter
                .written_bytes
                .fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.meter.reading_stopped.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(0));
        }
        if self.is_read_budget_exhausted() {
            let error = io::Error::new(io::ErrorKind::FileTooLarge, "more bytes than allowed");
            return Poll::Ready(Err(error));
        }
        if self.meter.ready_reads.load(Ordering::Relaxed) >= MAX_READY_READS {
            self.meter.ready_reads.store(0, Ordering::Relaxed);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.record_read(&result);
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
