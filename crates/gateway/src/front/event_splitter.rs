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
        let end = event_end(&self.buffer)?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Whether a part of an event is held.
    #[must_use]
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// What is held of an event that did not end.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Forgets what is held.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// The number in an event's `id` line.
#[must_use]
pub fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Position after the empty line that ends the first event.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut start = 0;
    loop {
        let line = buffer[start..].iter().position(|byte| *byte == b'\n')?;
        let end = start + line;
        let is_empty = line == 0 || (line == 1 && buffer[start] == b'\r');
        start = end + 1;
        if is_empty {
            return Some(start);
        }
    }
}
