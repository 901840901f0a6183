use serde::{Deserialize, Serialize};

use crate::ids::{StoreRevision, ZoneName};

/// Whether an availability zone is evacuated, as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneNotice {
    /// The availability zone.
    pub zone: ZoneName,
    /// Whether its targets must get no calls.
    pub is_evacuated: bool,
    /// Revision of the change.
    pub revision: StoreRevision,
}
