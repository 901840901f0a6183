use verbenahub_core::{clock::TimeSpan, units::ByteSize};

/// Limits and timeouts of an HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request, head and body together.
    pub request_bytes: ByteSize,
    /// Time within which the head of a request must arrive, from its first byte.
    pub head_timeout: TimeSpan,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: TimeSpan,
    /// Time without progress of a write after which the connection is closed.
    pub write_timeout: TimeSpan,
}
