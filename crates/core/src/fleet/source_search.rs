use std::net::SocketAddr;

use super::{ReaderPlan, ReaderRole, SourceList, StartupState};
use crate::clock::TimeSpan;

/// Number of rounds without a connected node after which a follower reads the store
/// itself. Standbys do so after the first, and are found in the second.
const FOLLOWER_ROUNDS: u32 = 2;
/// Pause after the first round without a connected node. It doubles with each further
/// one.
const FIRST_PAUSE: TimeSpan = TimeSpan::from_millis(150);
/// Maximum pause between two rounds.
const MAX_PAUSE: TimeSpan = TimeSpan::from_millis(400);

/// Decides whom a node asks for changes of the store, and when it reads the store
/// itself.
///
/// Designed for this load pattern: all readers lose the store at once, some of them
/// without notice, just before the operator changes the configuration or a target
/// leaves. Both must be in force at all other nodes within two seconds. Time passes
/// until a node notices that its source is lost ([`Self::LONG_POLL_TIMEOUT`], or
/// [`Self::MAX_DATA_AGE`] if the source still responds), until all others have had the
/// time to tell whether they are connected ([`Self::PROBE_TIMEOUT`]), and until it has
/// listed the store. A follower finds the standbys that have done so in its next round.
///
/// Only a node that reads the store itself is connected. Nodes that follow each other
/// would take each other for informed until their data is too old.
#[derive(Clone, Debug, Default)]
pub struct SourceSearch {
    /// The node that was connected when it was last asked.
    source: Option<SocketAddr>,
    /// Rounds without a connected node since the last one with one.
    failed_rounds: u32,
}

impl SourceSearch {
    /// Time for which a connected node waits for changes before it responds.
    pub const LONG_POLL: TimeSpan = TimeSpan::from_millis(700);
    /// Time within which the response to a long poll arrives.
    pub const LONG_POLL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_050);
    /// Time within which a node tells whether it is connected.
    pub const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);
    /// Maximum age of the data of a connected node. Covers its own watch of the store.
    pub const MAX_DATA_AGE: TimeSpan = TimeSpan::from_millis(1_250);

    /// The node to wait for changes at: the one that was connected, or else the first.
    /// `None` after a round without a connected node, since the first one may be silent.
    #[must_use]
    pub fn source(&self, sources: &SourceList) -> Option<SocketAddr> {
        if self.failed_rounds > 0 {
            return None;
        }
        let known = self
            .source
            .filter(|known| sources.addresses.contains(known));
        known.or_else(|| sources.addresses.first().copied())
    }

    /// Records that a node is connected to the store.
    pub const fn record_connected(&mut self, source: SocketAddr) {
        self.source = Some(source);
        self.failed_rounds = 0;
    }

    /// Records that no node is connected.
    pub const fn record_failed_round(&mut self) {
        self.source = None;
        self.failed_rounds = self.failed_rounds.saturating_add(1);
    }

    /// Whether the node reads the store itself. `unresponsive` is the number of nodes
    /// that did not respond in the last round.
    #[must_use]
    pub fn reads_store(
        &self,
        plan: &ReaderPlan,
        startup: &StartupState,
        unresponsive: u32,
    ) -> bool {
        let may_read = plan.role != ReaderRole::Follower
            || plan.sources.is_empty()
            || self.failed_rounds >= FOLLOWER_ROUNDS;
        may_read && plan.reads_as_fallback(startup, unresponsive)
    }

    /// Pause before the next round, after one without a connected node.
    #[must_use]
    pub fn pause(&self) -> TimeSpan {
        let doublings = self.failed_rounds.saturating_sub(1).min(8);
        (FIRST_PAUSE * (1 << doublings)).min(MAX_PAUSE)
    }
}
