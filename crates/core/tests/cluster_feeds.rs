//! Dissemination of feeds to every node, on a simulated in-memory network.

use verbenahub_core::{clock::TimeSpan, feed::FeedKind};

mod fake_net;

use self::fake_net::{
    FakeNet,
    checks::{all_feeds_agree, readiness, revision, running_nodes, settled_net, wait_for_live},
};

const SPREAD_LIMIT: TimeSpan = TimeSpan::from_secs(4);
const DETECTION_LIMIT: TimeSpan = TimeSpan::from_secs(25);

/// The platform goes down as soon as one node has read the change, so the other
/// nodes can only receive it from that node.
#[test]
fn a_change_reaches_all_from_one_reader() {
    for (count, zones, seed) in [(3, 3, 1), (9, 3, 2), (60, 4, 3), (200, 5, 4)] {
        let mut net = settled_net(count, zones, seed);
        let before = revision(&net, 0, FeedKind::Config);
        net.publish_config(3, 700);
        let holder_count = |net: &FakeNet| {
            let nodes = running_nodes(net).into_iter();
            nodes
                .filter(|index| revision(net, *index, FeedKind::Config) > before)
                .count()
        };
        while holder_count(&net) == 0 {
            net.run_for(TimeSpan::from_millis(1));
        }
        net.set_platform_down(true);
        let spread = net.run_until(SPREAD_LIMIT, |net| net.agree(FeedKind::Config));
        assert!(
            spread.is_some(),
            "only {} of {count} nodes received the change",
            holder_count(&net)
        );
    }
}

/// A service that answers with an old revision must not revert nodes that
/// already have a newer one.
#[test]
fn a_stale_service_takes_nothing_back() {
    let mut net = settled_net(9, 3, 5);
    let newest = net.versions(FeedKind::Config)[0];
    net.service(FeedKind::Config).stale_at = Some(1);
    for index in 0..9 {
        net.restart(index);
        let ready = net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready);
        assert!(ready.is_some());
        assert!(
            net.versions(FeedKind::Config)
                .iter()
                .all(|version| *version == newest)
        );
    }
}

#[test]
fn a_node_that_reads_a_stale_service_waits_for_its_peers() {
    for seed in 0..4 {
        let mut net = settled_net(9, 3, 30 + seed);
        for name in 0..60 {
            net.publish_config(name, 20_000);
        }
        net.run_for(TimeSpan::from_secs(5));
        let newest = net.versions(FeedKind::Config)[0];
        net.service(FeedKind::Config).stale_at = Some(1);
        net.restart(4);
        while !readiness(&net, 4).is_ready() {
            net.run_for(TimeSpan::from_millis(1));
            assert!(net.now < fake_net::start() + TimeSpan::from_secs(120));
        }
        let held = net.nodes[4].machine.replica(FeedKind::Config).version();
        assert_eq!(held, newest);
    }
}

/// The service returns different values of a key at the same revision to
/// different readers.
#[test]
fn different_answers_to_readers_converge() {
    let mut net = settled_net(9, 3, 6);
    net.service(FeedKind::Config).inconsistent_key = Some("pipelines/p7/1-00000000".to_owned());
    net.publish_config(7, 40);
    net.run_for(TimeSpan::from_millis(10));
    let agreed = net.run_until(TimeSpan::from_secs(10), |net| net.agree(FeedKind::Config));
    assert!(agreed.is_some(), "{:?}", net.versions(FeedKind::Config));
}

/// A key is deleted while the nodes cannot read, and the history with the deletion
/// is compacted before they can, so that they receive a snapshot instead.
#[test]
fn deletions_in_lost_history_reach_all() {
    let mut net = settled_net(60, 4, 7);
    net.set_platform_down(true);
    net.run_for(TimeSpan::from_secs(30));
    net.service(FeedKind::Config)
        .publish("pipelines/p1/1-00000000", None);
    net.publish_config(8, 300);
    net.service(FeedKind::Config).compacted_until = 4;
    net.set_platform_down(false);
    let agreed = net.run_until(TimeSpan::from_secs(20), |net| net.agree(FeedKind::Config));
    assert!(agreed.is_some());
    assert_eq!(net.nodes[5].machine.replica(FeedKind::Config).len(), 2);
}

#[test]
fn a_node_starts_while_the_service_is_down() {
    let mut net = settled_net(9, 3, 8);
    for name in 0..40 {
        net.publish_config(name, 20_000);
    }
    net.run_for(TimeSpan::from_secs(5));
    net.set_platform_down(true);
    net.run_for(TimeSpan::from_secs(30));
    assert!(
        net.all_ready(),
        "a node became unready although all nodes reach each other"
    );
    net.restart(4);
    let held = net.versions(FeedKind::Config)[0];
    while !readiness(&net, 4).is_ready() {
        net.run_for(TimeSpan::from_millis(10));
        assert!(net.now < fake_net::start() + TimeSpan::from_secs(120));
    }
    assert_eq!(
        net.nodes[4].machine.replica(FeedKind::Config).version(),
        held
    );
}

#[test]
fn all_nodes_restart_at_once() {
    for down in [false, true] {
        let mut net = settled_net(60, 4, 9);
        net.set_platform_down(down);
        for index in 0..60 {
            net.restart(index);
        }
        net.run_for(TimeSpan::from_secs(10));
        if down {
            let none_ready = running_nodes(&net)
                .into_iter()
                .all(|index| !readiness(&net, index).is_ready());
            assert!(none_ready, "a node is ready without a configuration");
            net.set_platform_down(false);
        }
        let ready = net.run_until(TimeSpan::from_secs(20), |net| {
            net.all_ready() && all_feeds_agree(net)
        });
        assert!(ready.is_some());
        assert!(wait_for_live(&mut net, 60, DETECTION_LIMIT));
    }
}

/// Only the assigned readers read the platform. When none of them reaches it, the
/// other nodes spread their reads so that the platform is not overloaded.
#[test]
fn few_nodes_read_and_others_volunteer_gently() {
    let mut net = settled_net(200, 4, 25);
    let second = |net: &FakeNet| net.now.since(fake_net::start()).as_millis() / 1_000;
    let steady = second(&net);
    net.run_for(TimeSpan::from_secs(20));
    let calls = net.services[0].total(steady, steady + 20);
    assert!(calls <= 20 * 12, "12 readers made {calls} calls in 20 s");
    for index in 0..200 {
        let reader = net.nodes[index].machine.is_reader(FeedKind::Config);
        net.nodes[index].reaches_platform = !reader;
    }
    let cut = second(&net);
    net.run_for(TimeSpan::from_secs(15));
    net.publish_config(5, 300);
    let spread = net.run_until(TimeSpan::from_secs(30), |net| net.agree(FeedKind::Config));
    assert!(spread.is_some(), "the volunteers did not find the change");
    net.set_platform_down(true);
    net.run_for(TimeSpan::from_secs(60));
    net.set_platform_down(false);
    net.run_for(TimeSpan::from_secs(20));
    let peak = net.services[0].peak(cut);
    assert!(
        peak <= 300,
        "peak of {peak} calls in a second; at most 200 are by volunteers"
    );
}
