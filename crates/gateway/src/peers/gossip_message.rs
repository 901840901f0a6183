use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{FleetMember, SourceSearch},
    ids::StoreRevision,
    policy::quarantine::QuarantineNotice,
    routes::{ConfigRank, RouteConfig},
    targets::{LeavingNotice, LimitNotice, RegistryChange, TargetRecord, ZoneNotice},
};

use crate::process::GatewayState;

/// Versions of the configuration and targets that a node holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Rank of its configuration; the default if it has none.
    pub config: ConfigRank,
    /// Revision of its target registry.
    pub targets: StoreRevision,
    /// Time since both were known to be current; `None` while the node has no
    /// contact to the store.
    pub age: Option<TimeSpan>,
    /// Whether the store has answered for long enough that targets missing from
    /// the registry are gone for good.
    pub is_settled: bool,
    /// Whether the node reads the store and its calls are answered.
    #[serde(default)]
    pub reads_store: bool,
}

/// Sent to another gateway in a gossip round.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Members that the sender knows, itself first.
    pub members: Vec<FleetMember>,
    /// Versions that the sender holds.
    pub holding: ReplicaStatus,
    /// Targets that have said in an answer that they leave.
    pub leaving: Vec<LeavingNotice>,
    /// What targets have said of their limits.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Parts of prompts that crash engines.
    #[serde(default)]
    pub quarantine: Vec<QuarantineNotice>,
    /// Zones that are or were evacuated.
    #[serde(default)]
    pub zones: Vec<ZoneNotice>,
}

/// Long poll for a newer configuration or newer targets. The answer is an
/// [`UpdateReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Versions that the asking node holds.
    pub holding: ReplicaStatus,
    /// Longest wait for something newer.
    pub wait: TimeSpan,
}

/// Brings the target registry of another node up to date.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetUpdate {
    /// Changes since the revision that the other node holds.
    Changes(Vec<RegistryChange>),
    /// All targets, if the changes since that revision are no longer kept.
    Listing(Vec<TargetRecord>),
}

/// Versions that a node holds, with the data that the asking node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpdateReply {
    /// Versions that the answering node holds.
    pub holding: ReplicaStatus,
    /// Its configuration, if it is newer.
    pub config: Option<RouteConfig>,
    /// Its targets, if its revision is newer.
    pub targets: Option<TargetUpdate>,
    /// Targets that have said in an answer that they leave.
    pub leaving: Vec<LeavingNotice>,
    /// What targets have said of their limits.
    #[serde(default)]
    pub limits: Vec<LimitNotice>,
    /// Parts of prompts that crash engines.
    #[serde(default)]
    pub quarantine: Vec<QuarantineNotice>,
    /// Zones that are or were evacuated.
    #[serde(default)]
    pub zones: Vec<ZoneNotice>,
}

/// Answer to a [`GossipMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipReply {
    /// Members that the answering node knows, itself first.
    pub members: Vec<FleetMember>,
    /// Data that the asking node lacks.
    pub news: UpdateReply,
}

/// Empty message: a probe, or the acknowledgement of a message without another
/// answer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PeerAck;

impl ReplicaStatus {
    /// Returns the versions that this node holds.
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
            reads_store: contact.is_connected(),
        }
    }

    /// Time for which the node counts as connected to the store without a further
    /// answer. Zero if it isn't connected.
    #[must_use]
    pub fn connection_left(&self) -> TimeSpan {
        let age = self.age.filter(|_| self.reads_store);
        age.map_or(TimeSpan::ZERO, |age| {
            SourceSearch::MAX_DATA_AGE.saturating_sub(age)
        })
    }

    /// Whether the node is connected to the store.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        !self.connection_left().is_zero()
    }

    /// Whether the configuration or the targets are newer than those of `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.targets > other.targets
    }
}

impl GossipMessage {
    /// Creates the message that this node sends.
    #[must_use]
    pub fn of(state: &GatewayState, now: ClockTime) -> Self {
        Self {
            members: state.fleet.borrow().members(),
            holding: ReplicaStatus::of(state, now),
            leaving: state.leaving.borrow().notices(now),
            limits: state.limits.borrow().notices(now),
            quarantine: state.quarantine.notices(now),
            zones: state.zones.borrow().notices(),
        }
    }
}

impl UpdateReply {
    /// Collects the data of this node that is newer than `asked`.
    #[must_use]
    pub fn since(state: &GatewayState, asked: &ReplicaStatus, now: ClockTime) -> Self {
        let holding = ReplicaStatus::of(state, now);
        let held = state.config();
        let config = held.filter(|held| held.rank() > asked.config);
        let registry = state.registry.borrow();
        let lacks_targets = holding.targets > asked.targets;
        let targets = lacks_targets.then(|| match registry.changes_since(asked.targets) {
            Some(changes) => TargetUpdate::Changes(changes),
            None => TargetUpdate::Listing(registry.listing().cloned().collect()),
        });
        Self {
            holding,
            config: config.map(|held| RouteConfig::clone(&held)),
            targets,
            leaving: state.leaving.borrow().notices(now),
            limits: state.limits.borrow().notices(now),
            quarantine: state.quarantine.notices(now),
            zones: state.zones.borrow().notices(),
        }
    }

    /// Applies the data to this node. `source` names the other node in log lines.
    /// Returns whether that node is in contact with the store.
    pub fn apply(self, state: &GatewayState, source: &str, now: ClockTime) -> bool {
        state.merge_leaving(self.leaving, source);
        state.merge_limits(self.limits, source);
        state.merge_evacuations(self.zones, source);
        state.quarantine.merge(state, self.quarantine, source);
        if let Some(config) = self.config {
            state.update_config(config, "peer");
        }
        let ReplicaStatus {
            targets: revision,
            age,
            is_settled,
            ..
        } = self.holding;
        if self.targets.is_some() {
            state.detect_restore(revision, source);
        }
        let has_targets = self.targets.is_some();
        let mut registry = state.registry.borrow_mut();
        let mut is_changed = match self.targets {
            Some(TargetUpdate::Changes(changes)) => registry.apply(changes, revision, is_settled),
            Some(TargetUpdate::Listing(records)) => registry.replace(records, revision, is_settled),
            None => false,
        };
        if is_settled && age.is_some() && registry.revision() == revision {
            is_changed |= !registry.expire().is_empty();
        }
        let count = registry.len();
        drop(registry);
        state.report_registry(source);
        if has_targets {
            state.record_coldness(source);
        }
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
