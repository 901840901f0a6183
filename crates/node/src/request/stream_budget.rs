use verbenahub_core::units::ByteSize;

/// Maximum number of bytes in a line besides its text.
const LINE_OVERHEAD_BYTES: u64 = 512;

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
