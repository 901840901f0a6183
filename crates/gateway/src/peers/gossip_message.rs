use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::ClockTime, fleet::FleetMember, ids::RevisionNumber, routes::RouteConfig,
    targets::TargetRecord,
};

use crate::process::GatewayState;

/// What a node holds, as it tells others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipNote {
    /// Members that it knows, itself first.
    pub members: Vec<FleetMember>,
    /// Revision of its configuration.
    pub config: RevisionNumber,
    /// Revision of its targets.
    pub targets: RevisionNumber,
    /// Whether the store answers it.
    pub in_contact: bool,
    /// Whether targets that it misses are gone for good.
    pub is_settled: bool,
}

/// All targets as of a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetListing {
    /// The records.
    pub records: Vec<TargetRecord>,
    /// Their revision.
    pub revision: RevisionNumber,
}

/// Answer to a note, with what the asking node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// What the answering node holds.
    pub note: GossipNote,
    /// Its configuration, if it is newer.
    pub config: Option<RouteConfig>,
    /// Its targets, if the asking node can't read newer ones itself.
    pub targets: Option<TargetListing>,
}

/// Says that a message was taken.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PeerAck;

impl GossipNote {
    /// The note of this node.
    #[must_use]
    pub fn of(state: &GatewayState, now: ClockTime) -> Self {
        let contact = state.contact.borrow();
        let config = state.config.borrow();
        Self {
            members: state.fleet.borrow().telling(),
            config: config
                .as_ref()
                .map(|held| held.revision)
                .unwrap_or_default(),
            targets: state.registry.borrow().revision(),
            in_contact: contact.is_answering(),
            is_settled: contact.is_settled(now),
        }
    }
}

impl GossipReply {
    /// The answer of this node to another one's note.
    #[must_use]
    pub fn to(state: &GatewayState, asked: &GossipNote, now: ClockTime) -> Self {
        let note = GossipNote::of(state, now);
        let config = state
            .config
            .borrow()
            .as_ref()
            .filter(|held| held.revision > asked.config)
            .map(|held| RouteConfig::clone(held));
        let lacks_targets = !asked.in_contact && note.targets > asked.targets;
        let targets = lacks_targets.then(|| TargetListing {
            records: state.registry.borrow().listing().cloned().collect(),
            revision: note.targets,
        });
        Self {
            note,
            config,
            targets,
        }
    }
}
