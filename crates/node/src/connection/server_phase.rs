use std::sync::atomic::{AtomicU8, Ordering};

/// The phase of an HTTP server, from serving to shutdown. It only moves forward.
#[derive(Debug, Default)]
pub struct ServerPhase(AtomicU8);

const SERVING: u8 = 0;
const ENDING: u8 = 1;
const CLOSING: u8 = 2;

impl ServerPhase {
    /// Makes each response close its connection from now on.
    pub fn end_connections(&self) {
        self.0.fetch_max(ENDING, Ordering::Relaxed);
    }

    /// Closes idle connections too from now on.
    pub fn close(&self) {
        self.0.fetch_max(CLOSING, Ordering::Relaxed);
    }

    /// Whether responses must close their connections.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.0.load(Ordering::Relaxed) != SERVING
    }

    /// Whether idle connections must be closed.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.0.load(Ordering::Relaxed) == CLOSING
    }
}
