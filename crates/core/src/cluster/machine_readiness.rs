//! Readiness of the node, and rejoining after a pause of the process.

use super::{
    ClusterMachine, ClusterNote, Readiness,
    feed_tracker::FeedTracker,
    join_state::JoinState,
    timings::{MAX_CONFIRMATION_AGE, PAUSE_THRESHOLD},
};
use crate::{clock::ClockTime, feed::FeedKind};

impl ClusterMachine {
    /// Returns whether the node accepts requests at `now`.
    #[must_use]
    pub fn readiness(&self, now: ClockTime) -> Readiness {
        if self.superseded {
            return Readiness::Superseded;
        }
        if self.own.rank.leaving {
            return Readiness::Leaving;
        }
        if now.since(self.last_event) > PAUSE_THRESHOLD {
            return Readiness::Resuming;
        }
        if !self.join.complete {
            return self.join_readiness(now);
        }
        if self.is_confirmed(now) || self.reaches_half(now) {
            Readiness::Ready
        } else {
            Readiness::CutOff
        }
    }

    /// Whether this node reaches at least half of the cluster.
    pub(super) fn reaches_half(&self, now: ClockTime) -> bool {
        let probed = self.table.len() - self.table.dead();
        self.probes.reaches_half(now, self.node_count(), probed)
    }

    pub(super) fn notice_pause(&mut self, now: ClockTime) {
        let span = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        if span <= PAUSE_THRESHOLD {
            return;
        }
        self.push_note(ClusterNote::Paused { span });
        let resuming = self.join.complete || self.join.resuming;
        self.join = JoinState::new(now, resuming);
        self.probes.clear();
        self.calls.clear();
        self.pending_relays.clear();
        self.table.restart_suspicion_timers(now);
        for feed in &mut self.feeds {
            feed.pull = None;
            feed.read_attempted = false;
            feed.peer_revision = None;
        }
    }

    pub(super) fn update_join(&mut self, now: ClockTime) {
        if !self.join.complete && self.join_readiness(now) == Readiness::Ready {
            self.join.complete = true;
        }
    }

    /// Readiness while joining: `Ready` once enough peers and the platform were
    /// contacted or the join timeout allows to go on without them, a
    /// configuration is present, and no peer is known to be ahead.
    fn join_readiness(&self, now: ClockTime) -> Readiness {
        let not_joined = if self.join.resuming {
            Readiness::Resuming
        } else {
            Readiness::Joining
        };
        if !self.has_joined(now) || !self.has_contacted_platform(now) {
            return not_joined;
        }
        if !self.feeds[FeedKind::Config.index()].has_content() {
            return Readiness::NoConfiguration;
        }
        if self.feeds.iter().any(FeedTracker::is_behind) {
            return Readiness::Behind;
        }
        Readiness::Ready
    }

    fn has_joined(&self, now: ClockTime) -> bool {
        let others = self.known_others();
        if self.join.enough_replied(others) {
            return true;
        }
        self.join.is_timed_out(now) && (self.join.any_replied() || self.is_confirmed(now))
    }

    fn has_contacted_platform(&self, now: ClockTime) -> bool {
        let contacted = |feed: &FeedTracker| {
            feed.read_attempted || feed.unconfirmed_for(now) <= MAX_CONFIRMATION_AGE
        };
        self.join.is_timed_out(now) || self.feeds.iter().all(contacted)
    }

    fn known_others(&self) -> usize {
        self.settings.seeds.len().max(self.table.len())
    }

    fn is_confirmed(&self, now: ClockTime) -> bool {
        let feed = &self.feeds[FeedKind::Vms.index()];
        feed.confirmed_at.is_some() && feed.unconfirmed_for(now) <= MAX_CONFIRMATION_AGE
    }
}
