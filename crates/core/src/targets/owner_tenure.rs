use crate::{
    clock::{ClockTime, TimeSpan},
    ids::NodeId,
};

/// Time after a change of owners for which a former owner may not know of it.
/// Heartbeats reach all nodes within three rounds of gossip, a second apart.
const TAKEOVER_PERIOD: TimeSpan = TimeSpan::from_secs(3);
/// Time without an observation after which changes may have been missed. Longer than
/// a round of gossip, in which the owners are observed, with its jitter.
const MAX_OBSERVATION_GAP: TimeSpan = TimeSpan::from_millis(2_500);

/// For how long the nodes that own the targets of a service have been the same in
/// the view of one node.
///
/// Designed for this load pattern: the owner of cold targets is lost, stands still or
/// is split off, and comes back. For seconds two nodes take themselves for the owner
/// and both grant permits.
#[derive(Clone, Debug, Default)]
pub struct OwnerTenure {
    owners: Vec<NodeId>,
    observed_at: Option<ClockTime>,
    disturbed_at: ClockTime,
}

impl OwnerTenure {
    /// Records the owners, by rank, and whether this node is in contact with most of
    /// the fleet. Further owners at the end, for more targets, disturb nothing.
    pub fn observe(&mut self, owners: &[NodeId], is_connected: bool, now: ClockTime) {
        let common = owners.len().min(self.owners.len());
        let is_same = common > 0 && owners[..common] == self.owners[..common];
        let is_seamless = self
            .observed_at
            .is_some_and(|at| now.since(at) < MAX_OBSERVATION_GAP);
        if !(is_same && is_seamless && is_connected) {
            self.disturbed_at = now;
        }
        if !is_same || owners.len() > self.owners.len() {
            self.owners = owners.to_vec();
        }
        self.observed_at = Some(now);
    }

    /// Whether another node may still take itself for the owner.
    #[must_use]
    pub fn is_disturbed(&self, now: ClockTime) -> bool {
        now.since(self.disturbed_at) < TAKEOVER_PERIOD
    }
}
