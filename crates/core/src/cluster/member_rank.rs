use serde::{Deserialize, Serialize};

use crate::ids::IncarnationNumber;

/// Condition of a member as seen by the failure detector.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum MemberCondition {
    /// The member replies to probes.
    #[default]
    Alive,
    /// The member did not reply and may still refute the suspicion.
    Suspect,
    /// The suspicion was not refuted before its timeout.
    Dead,
}

/// Totally ordered version of a member's record. The record with the largest
/// rank wins, so merging does not depend on the order of arrival.
///
/// Only the member itself raises its incarnation, its leaving flag and its
/// refutation count; other nodes only raise the condition.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberRank {
    /// Incarnation of the member's process; zero if it was never heard from.
    pub incarnation: IncarnationNumber,
    /// Whether the process has announced its shutdown.
    pub leaving: bool,
    /// Number of suspicions that the process has refuted.
    pub refutation: u32,
    /// Condition of the member.
    pub condition: MemberCondition,
}

impl MemberRank {
    /// Returns the rank with which a member refutes this one.
    #[must_use]
    pub const fn refuted(self) -> Self {
        Self {
            refutation: self.refutation.saturating_add(1),
            condition: MemberCondition::Alive,
            ..self
        }
    }

    /// Returns the same rank with another condition.
    #[must_use]
    pub const fn with_condition(self, condition: MemberCondition) -> Self {
        Self { condition, ..self }
    }

    /// Whether the member is eligible for work assigned by rendezvous hashing.
    #[must_use]
    pub fn is_active(self) -> bool {
        !self.leaving && self.condition == MemberCondition::Alive
    }
}
