use std::net::SocketAddr;

/// Addresses of the nodes that a node may ask for changes of the store, the preferred
/// one first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceList {
    /// All addresses.
    pub addresses: Vec<SocketAddr>,
    /// Number of them, from the first on, that read the store in preference to this
    /// node.
    pub preferred: usize,
}

impl SourceList {
    /// Nodes that read the store in preference to this one.
    #[must_use]
    pub fn preferred(&self) -> &[SocketAddr] {
        &self.addresses[..self.preferred.min(self.addresses.len())]
    }

    /// All nodes but one.
    #[must_use]
    pub fn without(&self, address: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut others = self.addresses.clone();
        others.retain(|other| Some(*other) != address);
        others
    }
}
