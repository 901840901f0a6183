use serde::{Deserialize, Serialize};

/// Body of `POST /fault`: the faults in force from now on.
///
/// A field that is left out is off, so `{}` clears all faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSpec {
    /// Multiplies all times in execution.
    pub slow_factor: Option<f64>,
    /// Share of calls that fail with status 500, from 0 to 1. Those of a plain
    /// service have no effect.
    pub fail_share: Option<f64>,
    /// Share of calls of a plain service that run and then fail with status 500.
    pub fail_after_run_share: Option<f64>,
    /// Share of answers that are those of another request or attempt, and of
    /// tokens that come with such, from 0 to 1.
    pub alien_share: Option<f64>,
    /// Holds all work and all answers for this time, in milliseconds.
    pub freeze_ms: Option<u64>,
    /// Never answers again on the connections that are open now.
    pub silent_open_connections: bool,
    /// Breaks the next stream after this number of tokens, once.
    pub break_stream_at: Option<u64>,
    /// Refuses all calls with status 503.
    pub refuse: bool,
    /// Sends each answer this much later, in milliseconds.
    pub late_ms: Option<u64>,
    /// Reports that the target wants no new work.
    pub leaving: bool,
}
