use bytes::{Bytes, BytesMut};

use super::StaleReason;

/// The tokens of a stream that were accepted so far, without gaps or overlaps.
#[derive(Debug, Default)]
pub(super) struct ReceivedText {
    text: BytesMut,
    tokens: u64,
}

impl ReceivedText {
    pub(super) const fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(super) fn as_bytes(&self) -> &[u8] {
        &self.text
    }

    /// Appends tokens if they start where the last ones ended.
    ///
    /// Tokens that begin before that point and end after it are refused as a
    /// gap, because the text cannot be split at token boundaries.
    pub(super) fn accept(
        &mut self,
        offset: u64,
        tokens: u64,
        text: &[u8],
    ) -> Result<(), StaleReason> {
        let end = offset.checked_add(tokens).ok_or(StaleReason::Gap)?;
        if end <= self.tokens {
            return Err(StaleReason::Duplicate);
        }
        if offset != self.tokens {
            return Err(StaleReason::Gap);
        }
        self.tokens = end;
        self.text.extend_from_slice(text);
        Ok(())
    }

    /// Removes and returns all text. To be called once the stream is complete.
    pub(super) fn take(&mut self) -> Bytes {
        self.text.split().freeze()
    }
}
