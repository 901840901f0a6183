use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    io::Errno,
};
use slog::{Drain, Level, LevelFilter, Logger, o};
use smol::Timer;

/// Maximum number of buffered bytes. Lines beyond it are dropped and counted.
const MAX_BUFFER_BYTES: usize = 512 << 10;
/// Bytes that can be written to a pipe without blocking once it is reported as
/// writable.
const PIPE_WRITE_BYTES: usize = 4 << 10;
/// Interval at which buffered lines are written. Lines are written in batches
/// because a wake-up costs more than a line.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffer of log lines between the logger and standard output.
///
/// Logging never blocks the process, even when the pipe is full or its reader has
/// stopped: the buffer is bounded, and lines beyond the bound are dropped.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    buffer: Arc<Mutex<BufferedLines>>,
}

impl LogBuffer {
    /// Creates a logger that writes JSON lines of at least `level` to this buffer.
    pub fn logger(&self, level: Level) -> Logger {
        let json = slog_json::Json::default(self.clone());
        let drain = LevelFilter::new(Mutex::new(json).ignore_res(), level);
        Logger::root(drain.ignore_res(), o!())
    }

    /// Writes buffered lines to standard output at an interval, until the future
    /// is dropped.
    pub async fn run(&self) {
        loop {
            Timer::after(FLUSH_INTERVAL).await;
            // The next flush continues with the rest.
            let _ = self.flush();
        }
    }

    /// Writes as much as standard output accepts without blocking. Returns
    /// whether the buffer is empty.
    #[must_use]
    pub fn flush(&self) -> bool {
        let stdout = io::stdout();
        let mut buffer = self.lock();
        while !buffer.bytes.is_empty() {
            let mut ready = [PollFd::new(&stdout, PollFlags::OUT)];
            let no_wait = Timespec::default();
            if !matches!(poll(&mut ready, Some(&no_wait)), Ok(1)) {
                return false;
            }
            let count = buffer.bytes.len().min(PIPE_WRITE_BYTES);
            match rustix::io::write(&stdout, &buffer.bytes[..count]) {
                Ok(written) => drop(buffer.bytes.drain(..written)),
                Err(Errno::INTR) => {}
                // The output is closed, so buffered lines can't be written any more.
                Err(_) => buffer.bytes.clear(),
            }
        }
        true
    }

    /// Number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, BufferedLines> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + bytes.len() > MAX_BUFFER_BYTES {
            // Each line ends with one line feed. A dropped part of a line without
            // it doesn't count as a dropped line.
            buffer.dropped += u64::from(bytes.ends_with(b"\n"));
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
