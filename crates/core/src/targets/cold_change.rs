use crate::{clock::TimeSpan, ids::TargetId};

/// A target that has become cold or warm by what a node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The target.
    pub target: TargetId,
    /// Time until the target is warm; zero if it is now.
    pub left: TimeSpan,
}
