use std::sync::atomic::{AtomicU64, Ordering};

use verbenahub_core::ids::{IncarnationNumber, NameError, NodeId, RequestId};

/// Generates request ids that are unique across nodes and across incarnations of
/// this node.
#[derive(Debug)]
pub struct RequestIdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl RequestIdGenerator {
    /// Creates the generator for one incarnation of a node.
    #[must_use]
    pub fn new(node: &NodeId, incarnation: IncarnationNumber) -> Self {
        Self {
            prefix: format!("{node}.{:x}", incarnation.get()),
            next: AtomicU64::new(1),
        }
    }

    /// Returns the next id.
    ///
    /// # Errors
    ///
    /// Fails if the node id is so long that the request id exceeds its maximum
    /// length.
    pub fn next_id(&self) -> Result<RequestId, NameError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(&format!("{}.{number:x}", self.prefix))
    }
}
