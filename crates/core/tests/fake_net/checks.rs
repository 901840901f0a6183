//! Helpers that several tests share.

use verbenahub_core::{clock::TimeSpan, cluster::Readiness, feed::FeedKind, ids::RevisionNumber};

use super::{FakeNet, node_id};

/// Creates a network whose nodes have joined and hold two configuration records.
pub fn settled_net(count: usize, zones: usize, seed: u64) -> FakeNet {
    let mut net = FakeNet::new(count, zones, seed);
    net.list_nodes();
    net.publish_config(1, 500);
    net.publish_config(2, 500);
    let ready = net.run_until(TimeSpan::from_secs(20), |net| {
        net.all_ready() && all_feeds_agree(net)
    });
    assert!(ready.is_some(), "not all nodes joined");
    net.run_for(TimeSpan::from_secs(20));
    net
}

/// Whether all running nodes hold the newest version of both feeds.
pub fn all_feeds_agree(net: &FakeNet) -> bool {
    FeedKind::ALL.into_iter().all(|feed| net.agree(feed))
}

/// Whether every running node sees exactly `live` live nodes.
pub fn all_see_live(net: &mut FakeNet, live: usize) -> bool {
    let running: Vec<usize> = running_nodes(net);
    running
        .into_iter()
        .all(|index| net.live_count(index) == live)
}

/// Indices of the running nodes.
pub fn running_nodes(net: &FakeNet) -> Vec<usize> {
    (0..net.nodes.len())
        .filter(|index| net.nodes[*index].running)
        .collect()
}

/// Runs until every running node sees exactly `live` live nodes. Returns whether
/// that happened within `limit`.
pub fn wait_for_live(net: &mut FakeNet, live: usize, limit: TimeSpan) -> bool {
    let start = net.now;
    while net.now.since(start) < limit {
        if all_see_live(net, live) {
            return true;
        }
        net.run_for(TimeSpan::from_millis(100));
    }
    false
}

/// Readiness of a node.
pub fn readiness(net: &FakeNet, index: usize) -> Readiness {
    net.nodes[index].machine.readiness(net.now)
}

/// Revision of a node's replica of a feed.
pub fn revision(net: &FakeNet, index: usize, feed: FeedKind) -> RevisionNumber {
    net.nodes[index].machine.replica(feed).revision()
}

/// State of a member in the view of a node.
pub fn member_state(net: &mut FakeNet, index: usize, member: usize) -> &'static str {
    let now = net.now;
    let members = net.nodes[index].machine.view(now).members;
    members
        .get(&node_id(member))
        .expect("the node is a member")
        .state
}
