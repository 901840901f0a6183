use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// The nodes that callers are sent to, as the platform's balancer does it.
#[derive(Debug)]
pub struct NodeBalancer {
    nodes: Mutex<Vec<SocketAddr>>,
}

impl NodeBalancer {
    /// Creates a balancer over some nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let nodes = Mutex::new(nodes);
        Self { nodes }
    }

    /// The node for a request, by its number.
    ///
    /// # Panics
    ///
    /// Panics when there are no nodes.
    #[must_use]
    pub fn choose(&self, number: usize) -> SocketAddr {
        let nodes = self.nodes();
        nodes[number % nodes.len()]
    }

    /// Sends callers to a node.
    pub fn add(&self, node: SocketAddr) {
        self.nodes().push(node);
    }

    /// Sends no more callers to a node.
    pub fn remove(&self, node: SocketAddr) {
        self.nodes().retain(|other| *other != node);
    }

    fn nodes(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
