use std::fmt;

/// Whether a node accepts requests, and the reason if it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The node accepts requests.
    Ready,
    /// The node started and has not yet contacted enough peers or the platform.
    Joining,
    /// The process was paused and has not yet contacted enough peers or the
    /// platform again.
    Resuming,
    /// The node has no configuration.
    NoConfiguration,
    /// A peer has newer configuration or a newer membership list.
    Behind,
    /// The membership list was not confirmed recently, and fewer than half of
    /// the nodes are reachable.
    CutOff,
    /// The node is shutting down.
    Leaving,
    /// Another process with a later incarnation uses the node's identifier.
    Superseded,
}

impl Readiness {
    /// Whether the node accepts requests.
    #[must_use]
    pub fn is_ready(self) -> bool {
        self == Self::Ready
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ready => "ready",
            Self::Joining => "joining: peers and platform were not yet asked",
            Self::Resuming => "resuming: peers were not yet asked since the process was paused",
            Self::NoConfiguration => "no configuration held",
            Self::Behind => "behind the configuration or membership list of peers",
            Self::CutOff => {
                "cut off: membership list not confirmed and less than half of the nodes in reach"
            }
            Self::Leaving => "leaving",
            Self::Superseded => "another process runs under this node id",
        })
    }
}
