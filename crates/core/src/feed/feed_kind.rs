use std::fmt;

use serde::{Deserialize, Serialize};

/// A feed of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FeedKind {
    /// Feed of the configuration service: the records that operators publish.
    Config,
    /// Feed of the membership list: the live and leaving VMs.
    Vms,
}

impl FeedKind {
    /// All feeds.
    pub const ALL: [Self; 2] = [Self::Config, Self::Vms];

    /// Returns the position of the feed in [`FeedKind::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Config => 0,
            Self::Vms => 1,
        }
    }
}

impl fmt::Display for FeedKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Config => "config",
            Self::Vms => "vms",
        })
    }
}
