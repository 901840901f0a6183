use std::sync::atomic::{AtomicU64, Ordering};

use verbenahub_core::ids::{IncarnationNumber, NameError, NodeId, RequestId};

/// Gives each request an id that no other node, and no other run of this node,
/// gives as well.
#[derive(Debug)]
pub struct RequestIdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl RequestIdGenerator {
    /// Creates a maker for one run of a node.
    #[must_use]
    pub fn new(node: &NodeId, incarnation: IncarnationNumber) -> Self {
        Self {
            prefix: format!("{node}.{:x}", incarnation.get()),
            next: AtomicU64::new(1),
        }
    }

    /// The next id.
    ///
    /// # Errors
    ///
    /// Fails when the node's id is so long that no request id fits behind it.
    pub fn next_id(&self) -> Result<RequestId, NameError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(&format!("{}.{number:x}", self.prefix))
    }
}
