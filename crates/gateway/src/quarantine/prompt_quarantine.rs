use std::cell::RefCell;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::rendezvous,
    ids::NodeId,
    policy::quarantine::{AnsweredParts, PartAnswer, PartKey, QuarantineNotice, QuarantinedParts},
};

use crate::process::GatewayState;

/// What this node knows of the parts of prompts: which ones are quarantined, and
/// which ones engines have answered.
#[derive(Debug)]
pub struct PromptQuarantine {
    quarantined: RefCell<QuarantinedParts>,
    answered: RefCell<AnsweredParts>,
}

impl PromptQuarantine {
    /// Creates the state of a node that knows nothing yet.
    #[must_use]
    pub fn new(node: &NodeId) -> Self {
        let node_hash = rendezvous::text_hash(node.as_str());
        Self {
            quarantined: RefCell::new(QuarantinedParts::new(node_hash)),
            answered: RefCell::default(),
        }
    }

    /// The part of a request that is quarantined and the time until it no longer is,
    /// if any.
    #[must_use]
    pub fn time_left(&self, parts: &[PartKey], now: ClockTime) -> Option<(PartKey, TimeSpan)> {
        self.quarantined.borrow().time_left(parts, now)
    }

    /// Whether a part is quarantined or was in the recent past.
    #[must_use]
    pub fn is_remembered(&self, part: PartKey) -> bool {
        self.quarantined.borrow().is_remembered(part)
    }

    /// Records that an engine has answered a request with these parts.
    pub fn record_answer(&self, parts: &[PartKey], now: ClockTime) {
        self.answered.borrow_mut().record(parts, now);
    }

    /// The last answers of those of the parts that this node remembers.
    #[must_use]
    pub fn answers(&self, parts: &[PartKey], now: ClockTime) -> Vec<PartAnswer> {
        self.answered.borrow().answers(parts, now)
    }

    /// Begins the quarantine of a part.
    pub(super) fn begin(&self, state: &GatewayState, part: PartKey) -> QuarantineNotice {
        let notice = self.quarantined.borrow_mut().begin(part, state.now());
        self.update_metric(state);
        notice
    }

    /// Merges notices of another node. `source` names the message that brought them,
    /// for the log.
    pub fn merge(&self, state: &GatewayState, notices: Vec<QuarantineNotice>, source: &str) {
        if notices.is_empty() {
            return;
        }
        let now = state.now();
        let added = self.quarantined.borrow_mut().merge(notices, now);
        for notice in &added {
            slog::warn!(state.log, "quarantine: Part of prompts learned.";
                "part" => %notice.part, "age" => %notice.age, "period" => %notice.period,
                "source" => source.to_owned());
        }
        self.update_metric(state);
    }

    /// All quarantines that this node knows, for other nodes.
    #[must_use]
    pub fn notices(&self, now: ClockTime) -> Vec<QuarantineNotice> {
        self.quarantined.borrow().notices(now)
    }

    fn update_metric(&self, state: &GatewayState) {
        let count = self.quarantined.borrow().active_count(state.now());
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        state.metrics.quarantined_parts.set(count);
    }
}
