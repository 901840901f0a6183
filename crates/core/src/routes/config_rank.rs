use serde::{Deserialize, Serialize};

use crate::ids::StoreRevision;

/// Which of two configurations is newer: the one with the operator's higher
/// version, then the one that the store has taken later.
///
/// The operator's versions only rise. A store that has come back from a copy
/// holds an older version for a while, whose routes and keys must not come
/// back into force; when the operator writes the last one again, it counts
/// whatever its revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigRank {
    /// The operator's version.
    pub version: u64,
    /// Where the store holds it.
    pub revision: StoreRevision,
}
