use std::time::Duration;

/// How long an engine takes for its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    /// Time for a token of a stream that runs alone.
    pub token: Duration,
    /// Share by which each further stream in the batch lengthens the time for a token.
    pub batch_slope: f64,
    /// Time to prefill 1 KiB of a prompt.
    pub prefill_per_kib: Duration,
}

const BYTES_PER_KIB: f64 = 1_024.0;

impl EnginePace {
    /// Time for a token with a number of streams in the batch.
    #[must_use]
    pub fn token_time(&self, running: usize) -> Duration {
        let others = u32::try_from(running.saturating_sub(1)).unwrap_or(u32::MAX);
        self.token
            .mul_f64(1.0 + self.batch_slope * f64::from(others))
    }

    /// Time to prefill a number of bytes.
    #[must_use]
    pub fn prefill_time(&self, bytes: usize) -> Duration {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.prefill_per_kib
            .mul_f64(f64::from(bytes) / BYTES_PER_KIB)
    }
}
