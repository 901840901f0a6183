use verbenahub_core::units::ByteSize;

/// Maximum number of bytes in a line besides its text.
const LINE_OVERHEAD_BYTES: u64 = 512;

/// Bytes on the connection per byte of a line that arrives in short chunks.
const FRAMING_FACTOR: u64 = 8;
/// Bytes that the buffers of the connection may hold beyond the line.
const READ_AHEAD_BYTES: u64 = 32 << 10;

/// Limits the size of the text in a stream.
pub(super) struct StreamBudget {
    remaining: u64,
}

impl StreamBudget {
    pub(super) const fn new(limit: ByteSize) -> Self {
        Self {
            remaining: limit.as_bytes(),
        }
    }

    /// Bytes that may be read until the end of the next line, with the framing of its
    /// chunks and what is read ahead.
    pub(super) const fn line_bytes(&self) -> u64 {
        FRAMING_FACTOR * (self.remaining + LINE_OVERHEAD_BYTES) + READ_AHEAD_BYTES
    }

    /// Charges a line to the budget. Returns false if the stream exceeds the
    /// limit.
    pub(super) fn try_charge(&mut self, line_bytes: usize) -> bool {
        let bytes = (line_bytes as u64)
            .saturating_sub(LINE_OVERHEAD_BYTES)
            .max(1);
        match self.remaining.checked_sub(bytes) {
            Some(remaining) => {
                self.remaining = remaining;
                true
            }
            None => false,
        }
    }
}
