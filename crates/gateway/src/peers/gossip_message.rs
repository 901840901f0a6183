use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::FleetMember,
    ids::StoreRevision,
    routes::{ConfigRank, RouteConfig},
    targets::{LeavingNotice, RegistryChange, TargetRecord},
};

use crate::process::GatewayState;

/// What a node holds, as it tells others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HoldingNote {
    /// Its configuration, against others.
    pub config: ConfigRank,
    /// Revision of its targets.
    pub targets: StoreRevision,
    /// Time since both were current, unless the store doesn't answer it.
    pub age: Option<TimeSpan>,
    /// Whether targets that it misses are gone for good.
    pub is_settled: bool,
}

/// A round of gossip.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipNote {
    /// Members that the node knows, itself first.
    pub members: Vec<FleetMember>,
    /// What it holds.
    pub holding: HoldingNote,
    /// Targets that have said in an answer that they leave.
    pub leaving: Vec<LeavingNotice>,
}

/// Asks for what is newer than what a node holds, as soon as there is any.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowAsk {
    /// What the node holds.
    pub holding: HoldingNote,
    /// How long to wait for something newer.
    pub wait: TimeSpan,
}

/// Targets that another node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetNews {
    /// What has changed since the revision that it holds.
    Changes(Vec<RegistryChange>),
    /// All targets.
    Listing(Vec<TargetRecord>),
}

/// What a node holds, with what the asking node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsReply {
    /// What the answering node holds.
    pub holding: HoldingNote,
    /// Its configuration, if it is newer.
    pub config: Option<RouteConfig>,
    /// Its targets, if they are newer.
    pub targets: Option<TargetNews>,
    /// Targets that have said in an answer that they leave.
    pub leaving: Vec<LeavingNotice>,
}

/// Answer to a round of gossip.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// Members that the answering node knows, itself first.
    pub members: Vec<FleetMember>,
    /// What the asking node lacks.
    pub news: NewsReply,
}

/// Says that a message was taken.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PeerAck;

impl HoldingNote {
    /// What this node holds.
    #[must_use]
    pub fn of(state: &GatewayState, now: ClockTime) -> Self {
        let contact = state.store_connectivity.borrow();
        let config = state.config.borrow();
        let rank = config.as_ref().map(|held| held.rank());
        Self {
            config: rank.unwrap_or_default(),
            targets: state.registry.borrow().revision(),
            age: contact.data_age(now),
            is_settled: contact.is_settled(now),
        }
    }

    /// Whether this node holds anything newer than another one.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.targets > other.targets
    }
}

impl GossipNote {
    /// The note of this node.
    #[must_use]
    pub fn of(state: &GatewayState, now: ClockTime) -> Self {
        Self {
            members: state.fleet.borrow().members(),
            holding: HoldingNote::of(state, now),
            leaving: state.leaving.borrow().notices(now),
        }
    }
}

impl NewsReply {
    /// What this node can tell one that holds `asked`.
    #[must_use]
    pub fn to(state: &GatewayState, asked: &HoldingNote, now: ClockTime) -> Self {
        let holding = HoldingNote::of(state, now);
        let held = state.config();
        let config = held.filter(|held| held.rank() > asked.config);
        let registry = state.registry.borrow();
        let lacks_targets = holding.targets > asked.targets;
        let targets = lacks_targets.then(|| match registry.changes_since(asked.targets) {
            Some(changes) => TargetNews::Changes(changes),
            None => TargetNews::Listing(registry.listing().cloned().collect()),
        });
        Self {
            holding,
            config: config.map(|held| RouteConfig::clone(&held)),
            targets,
            leaving: state.leaving.borrow().notices(now),
        }
    }

    /// Takes over what this node lacks. Returns whether the other node is in
    /// contact with the store.
    pub fn apply(self, state: &GatewayState, source: &str, now: ClockTime) -> bool {
        state.merge_leaving(self.leaving, source);
        if let Some(config) = self.config {
            state.update_config(config, "peer");
        }
        let HoldingNote {
            targets: revision,
            age,
            is_settled,
            ..
        } = self.holding;
        if self.targets.is_some() {
            state.detect_restore(revision, source);
        }
        let mut registry = state.registry.borrow_mut();
        let mut is_changed = match self.targets {
            Some(TargetNews::Changes(changes)) => registry.apply(changes, revision, is_settled),
            Some(TargetNews::Listing(records)) => registry.replace(records, revision, is_settled),
            None => false,
        };
        if is_settled && age.is_some() && registry.revision() == revision {
            is_changed |= !registry.expire().is_empty();
        }
        let count = registry.len();
        drop(registry);
        if is_changed {
            slog::info!(state.log, "targets: Changed.";
                "source" => "peer", "peer" => source, "revision" => %revision,
                "targets" => count, "settled" => is_settled);
            state.publish_changes();
        }
        if let Some(age) = age {
            state
                .store_connectivity
                .borrow_mut()
                .record_confirmation(age, now);
        }
        age.is_some()
    }
}
