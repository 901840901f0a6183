use std::collections::BTreeMap;

use super::ZoneNotice;
use crate::ids::{StoreRevision, ZoneName};

/// Largest number of zones that are kept, so that a faulty writer can't exhaust the
/// memory.
const MAX_ZONES: usize = 1_024;

/// Latest known state of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ZoneState {
    is_evacuated: bool,
    revision: StoreRevision,
}

/// Availability zones whose targets must get no calls, on the operator's request.
///
/// Designed for this load pattern: a third of all targets must get nothing more
/// within seconds, from every node and on every path, while requests for them
/// wait, retry and are assigned by other nodes, and news arrives late, twice and
/// out of order. The state with the latest revision of the store counts.
///
/// A store that was restored from a backup may lack the request for an evacuation
/// that is in force. A listing of a later era therefore ends none; the operator
/// writes the key again and removes it.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    states: BTreeMap<ZoneName, ZoneState>,
}

impl EvacuatedZones {
    /// Whether the targets of a zone must get no calls.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.states
            .get(zone)
            .is_some_and(|state| state.is_evacuated)
    }

    /// Whether a notice changes what is known of its zone: it is of a later revision, or
    /// ends the evacuation that began at the same one.
    #[must_use]
    pub fn is_news(&self, notice: &ZoneNotice) -> bool {
        let known = self.states.get(&notice.zone);
        known.is_none_or(|known| {
            let is_end = known.is_evacuated && !notice.is_evacuated;
            notice.revision > known.revision || (is_end && notice.revision == known.revision)
        })
    }

    /// Applies notices from the store or from another node. Returns those that start
    /// or end an evacuation.
    pub fn merge(&mut self, notices: Vec<ZoneNotice>) -> Vec<ZoneNotice> {
        let mut changes = Vec::new();
        for notice in notices {
            let known = self.states.get(&notice.zone).copied();
            let has_room = known.is_some() || self.states.len() < MAX_ZONES;
            if !has_room || !self.is_news(&notice) {
                continue;
            }
            let state = ZoneState {
                is_evacuated: notice.is_evacuated,
                revision: notice.revision,
            };
            self.states.insert(notice.zone.clone(), state);
            if known.is_some_and(|known| known.is_evacuated) != notice.is_evacuated {
                changes.push(notice);
            }
        }
        changes
    }

    /// Applies a listing of all evacuations as of `revision`: those of the same era
    /// that it lacks have ended. Returns the notices that start or end an
    /// evacuation. When such an end was, is unknown, so it counts as of the revision
    /// of the start: a node that learns of it late must not tell it as news to the
    /// nodes that have known the end.
    pub fn replace(
        &mut self,
        mut listed: Vec<ZoneNotice>,
        revision: StoreRevision,
    ) -> Vec<ZoneNotice> {
        let ended = self.states.iter().filter(|(zone, state)| {
            state.is_evacuated
                && state.revision.era == revision.era
                && state.revision <= revision
                && !listed.iter().any(|notice| notice.zone == **zone)
        });
        let ended: Vec<ZoneNotice> = ended
            .map(|(zone, state)| ZoneNotice {
                zone: zone.clone(),
                is_evacuated: false,
                revision: state.revision,
            })
            .collect();
        listed.extend(ended);
        self.merge(listed)
    }

    /// The latest known state of each zone, for other nodes.
    #[must_use]
    pub fn notices(&self) -> Vec<ZoneNotice> {
        let notices = self.states.iter().map(|(zone, state)| ZoneNotice {
            zone: zone.clone(),
            is_evacuated: state.is_evacuated,
            revision: state.revision,
        });
        notices.collect()
    }

    /// Number of evacuated zones.
    #[must_use]
    pub fn len(&self) -> usize {
        let states = self.states.values();
        states.filter(|state| state.is_evacuated).count()
    }

    /// Whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
