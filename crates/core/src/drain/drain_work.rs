/// Work in progress on a node, for which a graceful shutdown waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainWork {
    /// Requests of callers without a complete answer, including queued and
    /// streaming ones.
    pub requests: usize,
    /// Calls from other nodes that are not answered yet.
    pub forwarded: usize,
    /// Running tickets, including those whose callers have disconnected.
    pub tickets: usize,
}

impl DrainWork {
    /// Whether no work is in progress.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requests == 0 && self.forwarded == 0 && self.tickets == 0
    }
}
