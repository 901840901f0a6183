use std::time::{Duration, Instant};

use crate::call::AnswerSink;

/// Takes the times at which the tokens of an answer arrive.
#[derive(Debug)]
pub(super) struct SampleSink {
    due: Instant,
    last: Option<Instant>,
    /// From when the request was due to its first token.
    pub(super) first_token: Option<Duration>,
    /// Times between tokens.
    pub(super) token_gaps: Vec<Duration>,
}

impl SampleSink {
    /// Creates a sink for a request that was due at `due`.
    pub(super) fn new(due: Instant) -> Self {
        Self {
            due,
            last: None,
            first_token: None,
            token_gaps: Vec::new(),
        }
    }
}

impl AnswerSink for SampleSink {
    fn take_tokens(&mut self, tokens: u64, _text: &str) {
        let now = Instant::now();
        let count = u32::try_from(tokens).unwrap_or(u32::MAX).max(1);
        match self.last {
            // Tokens of one piece share the time since the piece before.
            Some(last) => {
                let gap = now.saturating_duration_since(last) / count;
                self.token_gaps.extend((0..count).map(|_| gap));
            }
            None => self.first_token = Some(now.saturating_duration_since(self.due)),
        }
        self.last = Some(now);
    }

    fn take_bytes(&mut self, _bytes: &[u8]) {}
}
