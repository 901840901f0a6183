use serde::{Deserialize, Serialize};

use super::TargetRecord;
use crate::ids::{StoreRevision, TargetId};

/// One change of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// A target wrote its record.
    Put(TargetRecord),
    /// A record was removed.
    Removed {
        /// The target.
        id: TargetId,
        /// Revision of the removal.
        revision: StoreRevision,
    },
}

impl RegistryChange {
    /// The target that the change concerns.
    #[must_use]
    pub const fn id(&self) -> &TargetId {
        match self {
            Self::Put(record) => &record.id,
            Self::Removed { id, .. } => id,
        }
    }
}
