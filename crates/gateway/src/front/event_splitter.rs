use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Largest event that is held until it is whole.
const EVENT_BYTES: usize = 1 << 20;

/// A stream that is none of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("event of more than {EVENT_BYTES} bytes")]
pub struct SplitError;

/// Cuts a stream into whole events, so that a stream which breaks off inside
/// one can go on elsewhere with the next.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first line of the buffer that has not ended yet.
    line_start: usize,
    /// Bytes of the buffer that were looked at.
    seen: usize,
}

impl EventSplitter {
    /// Takes in bytes of the stream.
    ///
    /// # Errors
    ///
    /// Fails when an event is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_BYTES {
            return Err(SplitError);
        }
        Ok(())
    }

    /// The next whole event, its end included.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.event_end()?;
        self.line_start = 0;
        self.seen = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether a part of an event is held.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// What is held of an event that did not end.
    pub fn take_rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.seen = 0;
        self.buffer.split().freeze()
    }

    /// Forgets what is held.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.seen = 0;
    }

    /// Position after the empty line that ends the first event. Each byte is
    /// looked at once, however small the parts in which it comes.
    fn event_end(&mut self) -> Option<usize> {
        loop {
            let unseen = self.buffer.get(self.seen..)?;
            let Some(line) = unseen.iter().position(|byte| *byte == b'\n') else {
                self.seen = self.buffer.len();
                return None;
            };
            let end = self.seen + line;
            let text = &self.buffer[self.line_start..end];
            let is_empty = text.is_empty() || text == b"\r";
            self.line_start = end + 1;
            self.seen = end + 1;
            if is_empty {
                return Some(end + 1);
            }
        }
    }
}

/// The number in an event's `id` line.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok().map(str::trim)
}
