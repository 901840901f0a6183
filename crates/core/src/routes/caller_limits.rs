use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, units::ByteSize};

/// Limits on the size and timing of requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, that is, request line and headers.
    pub head_size: ByteSize,
    /// Maximum size of a request body.
    pub body_size: ByteSize,
    /// Maximum time from the first to the last byte of a request head.
    pub head_timeout: TimeSpan,
    /// Maximum time that a connection may stay open without a request.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    /// Common limits of HTTP servers, used until the operator sets others.
    fn default() -> Self {
        Self {
            head_size: ByteSize::from_kib(32),
            body_size: ByteSize::from_mib(4),
            head_timeout: TimeSpan::from_secs(10),
            idle_timeout: TimeSpan::from_secs(60),
        }
    }
}
