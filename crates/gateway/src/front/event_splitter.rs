use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Maximum number of bytes that are buffered until an event is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Maximum number of bytes in blank lines and comments between two events. Far more
/// than targets need to keep a connection alive until the deadline of a stream.
const MAX_FILLER_BYTES: usize = 64 << 10;

/// Why a stream of events is not read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EventStreamError {
    /// An event exceeds the buffer limit.
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
    /// Blank lines and comments follow each other without an event.
    #[error("no event in {MAX_FILLER_BYTES} bytes")]
    NoEvent,
}

/// Splits a server-sent event stream into complete events, so that a stream that
/// breaks off within an event can be resumed at another target.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first incomplete line in the buffer.
    line_start: usize,
    /// Number of buffered bytes already scanned for line ends.
    scanned: usize,
    /// Size of the blocks without a field since the last event.
    filler_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    ///
    /// Fails when more than 1 MiB is buffered, or more than 64 KiB came since the last
    /// event without a field of another one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventStreamError> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventStreamError::EventTooLarge);
        }
        if self.filler_bytes > MAX_FILLER_BYTES {
            return Err(EventStreamError::NoEvent);
        }
        Ok(())
    }

    /// Removes and returns the next complete event, including the empty line that
    /// ends it. Blank lines and comments between events are returned as blocks of
    /// their own, which [`has_fields`] tells from events.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.event_end()?;
        self.line_start = 0;
        self.scanned = 0;
        let event = self.buffer.split_to(end).freeze();
        if has_fields(&event) {
            self.filler_bytes = 0;
        } else {
            self.filler_bytes += event.len();
        }
        Some(event)
    }

    /// Number of bytes that are buffered.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of an event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes and returns the buffered part of an incomplete event.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.line_start = 0;
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Discards all buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.scanned = 0;
        self.filler_bytes = 0;
    }

    /// Position after the empty line that ends the first event. Each byte is
    /// scanned only once, however small the chunks are.
    fn event_end(&mut self) -> Option<usize> {
        loop {
            let unscanned = self.buffer.get(self.scanned..)?;
            let Some(line) = unscanned.iter().position(|byte| *byte == b'\n') else {
                self.scanned = self.buffer.len();
                return None;
            };
            let end = self.scanned + line;
            let text = &self.buffer[self.line_start..end];
            let is_empty = text.is_empty() || text == b"\r";
            self.line_start = end + 1;
            self.scanned = end + 1;
            if is_empty {
                return Some(end + 1);
            }
        }
    }
}

/// Whether a block of lines is an event. Blocks of blank lines and comments are not.
#[must_use]
pub fn has_fields(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | b"\r" | [b':', ..]))
}

/// The value of an event's `id` line.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok().map(str::trim)
}
