/// Time from sending a request to its first event that doesn't depend on the
/// prompt's length: the way to the engine and back, and one step.
const FIXED_MILLIS: f64 = 10.0;
/// Share by which a sample reduces the weight of the earlier ones. The mean
/// follows the last few hundred prompts of a service.
const SAMPLE_WEIGHT: f64 = 0.005;

/// Mean time that the engines of a service take to read a token.
#[derive(Debug, Default)]
pub(super) struct MeanPace {
    millis: f64,
    tokens: f64,
}

impl MeanPace {
    /// Adds the time in milliseconds in which an engine read a number of tokens.
    pub(super) fn observe(&mut self, millis: f64, tokens: f64) {
        self.millis = self.millis * (1.0 - SAMPLE_WEIGHT) + millis;
        self.tokens = self.tokens * (1.0 - SAMPLE_WEIGHT) + tokens;
    }

    /// Milliseconds that an engine takes to read a number of tokens, on average.
    /// Zero before the first sample.
    pub(super) fn expected_millis(&self, tokens: f64) -> f64 {
        if self.tokens > 0.0 {
            tokens * self.millis / self.tokens
        } else {
            0.0
        }
    }

    /// Tokens that a mean engine reads in a number of milliseconds. Zero before the
    /// first sample.
    pub(super) fn expected_tokens(&self, millis: f64) -> f64 {
        if self.millis > 0.0 {
            millis * self.tokens / self.millis
        } else {
            0.0
        }
    }

    /// The part of the time from sending a request to its first event in which the
    /// engine read prompts.
    pub(super) fn reading_millis(first_event_millis: f64) -> f64 {
        (first_event_millis - FIXED_MILLIS).max(0.0)
    }
}
