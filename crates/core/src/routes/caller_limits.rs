use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, units::ByteSize};

/// Bounds on what a caller may send and how long it may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_size: ByteSize,
    /// Largest request body.
    pub body_size: ByteSize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: TimeSpan,
    /// Longest time that a connection may stay open without a request.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    /// The usual limits of HTTP servers, in force until the operator sets
    /// others.
    fn default() -> Self {
        Self {
            head_size: ByteSize::from_kib(32),
            body_size: ByteSize::from_mib(4),
            head_timeout: TimeSpan::from_secs(10),
            idle_timeout: TimeSpan::from_secs(60),
        }
    }
}
