use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Counts what a stand-in did.
#[derive(Debug, Default)]
pub struct RunStats {
    runs: AtomicU64,
    refusals: AtomicU64,
    failures: AtomicU64,
    cancels: AtomicU64,
    tokens: AtomicU64,
    cached_bytes: AtomicU64,
    prompt_bytes: AtomicU64,
    busy_micros: AtomicU64,
}

/// Answer of `GET /stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsReport {
    /// Calls that began to run.
    pub runs: u64,
    /// Calls that were refused and did not run.
    pub refusals: u64,
    /// Calls that were made to fail.
    pub failures: u64,
    /// Calls that were cancelled or whose connection broke.
    pub cancels: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Bytes of prompts that were found in the prefix cache.
    pub cached_bytes: u64,
    /// Bytes of all prompts.
    pub prompt_bytes: u64,
    /// Sum of the times in execution, in milliseconds.
    pub busy_ms: u64,
}

impl RunStats {
    /// Counts a call that begins to run.
    pub fn add_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refused call.
    pub fn add_refusal(&self) {
        self.refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was made to fail.
    pub fn add_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a cancelled call.
    pub fn add_cancel(&self) {
        self.cancels.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts generated tokens.
    pub fn add_tokens(&self, tokens: u64) {
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Counts the bytes of a prompt and how many of them were cached.
    pub fn add_prompt(&self, bytes: u64, cached: u64) {
        self.prompt_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.cached_bytes.fetch_add(cached, Ordering::Relaxed);
    }

    /// Counts time in execution.
    pub fn add_busy(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.busy_micros.fetch_add(micros, Ordering::Relaxed);
    }

    /// All counts.
    #[must_use]
    pub fn report(&self) -> StatsReport {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StatsReport {
            runs: read(&self.runs),
            refusals: read(&self.refusals),
            failures: read(&self.failures),
            cancels: read(&self.cancels),
            tokens: read(&self.tokens),
            cached_bytes: read(&self.cached_bytes),
            prompt_bytes: read(&self.prompt_bytes),
            busy_ms: read(&self.busy_micros) / 1_000,
        }
    }
}
