use serde::{Deserialize, Serialize};

use crate::ids::StoreRevision;

/// Orders configurations from old to new: by the operator's version, then by
/// the store's revision.
///
/// The operator's versions only increase. After the store was restored from a
/// copy it holds an older version for a while, and the routes and keys of that
/// version must not become active again. When the operator then writes the
/// latest version again, it is adopted whatever its revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigRank {
    /// Version number set by the operator.
    pub version: u64,
    /// Revision at which the store holds this version.
    pub revision: StoreRevision,
}
