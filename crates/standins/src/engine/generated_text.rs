use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Fewest tokens of an answer whose length is not limited.
const LEAST_TOKENS: u64 = 24;
/// Number of different lengths of answers.
const LENGTH_SPREAD: u64 = 72;

/// The words that answers are made of.
const WORDS: [&str; 32] = [
    "the", "seal", "pane", "spacer", "mattress", "turn", "visit", "survey", "fogged", "window",
    "crew", "resident", "replace", "check", "before", "after", "with", "without", "morning",
    "evening", "drying", "corner", "frame", "silicone", "slats", "report", "history", "photo",
    "advise", "confirm", "level", "edge",
];

/// The answer of any engine to a prompt; it depends on nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedText {
    seed: u64,
    tokens: u64,
}

impl GeneratedText {
    /// The answer to a prompt with at most `max_tokens` tokens.
    #[must_use]
    pub fn of_prompt(prompt: &[u8], max_tokens: u64) -> Self {
        let seed = xxh3_64(prompt);
        let tokens = (LEAST_TOKENS + seed % LENGTH_SPREAD).min(max_tokens);
        Self { seed, tokens }
    }

    /// Number of tokens.
    #[must_use]
    pub const fn tokens(self) -> u64 {
        self.tokens
    }

    /// One token; each ends with a space.
    #[must_use]
    pub fn token(self, offset: u64) -> String {
        let hash = xxh3_64_with_seed(&offset.to_le_bytes(), self.seed);
        let index = usize::try_from(hash).unwrap_or(usize::MAX) % WORDS.len();
        let tail = (hash >> 32) & 0xfff;
        format!("{}{tail:03x} ", WORDS[index])
    }

    /// The first tokens as one text.
    #[must_use]
    pub fn head(self, tokens: u64) -> String {
        (0..tokens.min(self.tokens))
            .map(|offset| self.token(offset))
            .collect()
    }

    /// The whole text.
    #[must_use]
    pub fn text(self) -> String {
        self.head(self.tokens)
    }
}
