//! Cluster views for the other components of the node.

use std::sync::Arc;

use super::{ClusterMachine, ClusterView, FeedSummary, MemberList};
use crate::{clock::ClockTime, feed::FeedKind};

impl ClusterMachine {
    /// Returns the view of the cluster at `now`.
    pub fn view(&mut self, now: ClockTime) -> ClusterView {
        ClusterView {
            members: self.member_list(),
            readiness: self.readiness(now),
            created_at: now,
            config: self.summary(FeedKind::Config, now),
            vms: self.summary(FeedKind::Vms, now),
        }
    }

    fn member_list(&mut self) -> Arc<MemberList> {
        let change_count = self.table.change_count() + self.handover_changes;
        let own = self.own.clone();
        let current = |list: &MemberList| {
            list.incarnation == own.rank.incarnation && list.own_leaving() == own.rank.leaving
        };
        if let Some((cached_count, list)) = &self.cached_list
            && *cached_count == change_count
            && current(list)
        {
            return Arc::clone(list);
        }
        let successors = self.handovers.successors();
        let list = self.table.member_list(&own).with_successors(successors);
        let list = Arc::new(list);
        self.cached_list = Some((change_count, Arc::clone(&list)));
        list
    }

    fn summary(&self, feed: FeedKind, now: ClockTime) -> FeedSummary {
        let tracker = &self.feeds[feed.index()];
        FeedSummary {
            version: tracker.replica.version(),
            confirmed_ago: tracker.confirmed_at.map(|at| now.since(at)),
            reader: tracker.schedule.assigned,
        }
    }
}
