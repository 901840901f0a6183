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

/// Bytes that wait for the output at most. Further lines are dropped and
/// counted.
const BUFFER_BYTES: usize = 512 << 10;
/// Bytes that a pipe takes at once without blocking when it is writable.
const PIPE_WRITE_BYTES: usize = 4 << 10;
/// Interval at which lines are written out. A wake-up costs more than a line.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct HeldLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Log lines on their way to the standard output.
///
/// Neither a full pipe nor a reader that has stopped delays the process: lines
/// are kept up to a bound and dropped beyond it.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    held: Arc<Mutex<HeldLines>>,
}

impl LogBuffer {
    /// A logger that writes lines of JSON to this buffer.
    pub fn logger(&self, level: Level) -> Logger {
        let json = slog_json::Json::default(self.clone());
        let drain = LevelFilter::new(Mutex::new(json).ignore_res(), level);
        Logger::root(drain.ignore_res(), o!())
    }

    /// Writes lines out until the future is dropped.
    pub async fn run(&self) {
        loop {
            Timer::after(FLUSH_INTERVAL).await;
            // What is left goes with the next round.
            let _ = self.flush();
        }
    }

    /// Writes as much as the output takes without blocking. Returns whether
    /// all is written.
    #[must_use]
    pub fn flush(&self) -> bool {
        let stdout = io::stdout();
        let mut held = self.lock();
        while !held.bytes.is_empty() {
            let mut ready = [PollFd::new(&stdout, PollFlags::OUT)];
            let at_once = Timespec::default();
            if !matches!(poll(&mut ready, Some(&at_once)), Ok(1)) {
                return false;
            }
            let count = held.bytes.len().min(PIPE_WRITE_BYTES);
            match rustix::io::write(&stdout, &held.bytes[..count]) {
                Ok(written) => drop(held.bytes.drain(..written)),
                Err(Errno::INTR) => {}
                // Nobody reads the log any more; what waits is of no use.
                Err(_) => held.bytes.clear(),
            }
        }
        true
    }

    /// Lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, HeldLines> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut held = self.lock();
        if held.bytes.len() + bytes.len() > BUFFER_BYTES {
            // Lines end with a line feed of their own; a part of one that
            // was dropped is none.
            held.dropped += u64::from(bytes.ends_with(b"\n"));
        } else {
            held.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
