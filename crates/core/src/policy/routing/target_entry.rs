use crate::{ids::TargetId, protocol::VmEntry};

/// A target and its entry in the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The target.
    pub target: TargetId,
    /// Its entry in the membership list.
    pub entry: VmEntry,
}
