use xxhash_rust::xxh3::Xxh3;

use super::{MemberCondition, MemberRecord};
use crate::{clock::ClockTime, protocol::VmState};

/// Local state kept for another node.
#[derive(Clone, Debug)]
pub(super) struct MemberState {
    /// The record with the largest rank received so far.
    pub(super) record: MemberRecord,
    /// State in the membership list, if the list names the node.
    pub(super) listed: Option<VmState>,
    /// When the condition last changed.
    pub(super) condition_since: ClockTime,
    /// Hash of the identifier, for rendezvous hashing.
    pub(super) id_hash: u64,
}

impl MemberState {
    /// Whether the member is eligible for work assigned by rendezvous hashing.
    /// A member that the membership list marks as leaving is not.
    pub(super) fn is_active(&self) -> bool {
        self.record.rank.is_active() && self.listed != Some(VmState::Leaving)
    }

    pub(super) fn is_dead(&self) -> bool {
        self.record.rank.condition == MemberCondition::Dead
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.record.rank.condition == MemberCondition::Suspect
    }
}

/// Digest of a member record. A suspicion is excluded since it is transient, and
/// a dead member is excluded since nodes forget it at different times.
pub(super) fn record_digest(record: &MemberRecord) -> u64 {
    let rank = record.rank;
    if rank.condition == MemberCondition::Dead {
        return 0;
    }
    let mut hasher = Xxh3::new();
    hasher.update(record.node.as_str().as_bytes());
    hasher.update(&rank.incarnation.get().to_le_bytes());
    hasher.update(&rank.refutation.to_le_bytes());
    hasher.update(&[u8::from(rank.leaving)]);
    hasher.digest()
}
