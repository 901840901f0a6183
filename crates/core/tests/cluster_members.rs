//! Membership and failure detection on a simulated in-memory network.

use verbenahub_core::{
    clock::TimeSpan,
    cluster::{ClusterEvent, Readiness},
    feed::FeedKind,
    ids::IncarnationNumber,
    protocol::VmState,
};

mod fake_net;

use self::fake_net::{
    FakeNet,
    checks::{all_see_live, member_state, readiness, running_nodes, settled_net, wait_for_live},
    node_id,
};

const DETECTION_LIMIT: TimeSpan = TimeSpan::from_secs(25);

#[test]
fn nodes_join_and_see_each_other() {
    for seed in 0..8 {
        let mut net = settled_net(9, 3, seed);
        assert!(all_see_live(&mut net, 9));
    }
}

#[test]
fn a_killed_node_is_declared_dead_and_its_restart_alive() {
    for (count, seed) in [(3, 18), (9, 19), (60, 20)] {
        let mut net = settled_net(count, 3, seed);
        net.kill(1);
        assert!(wait_for_live(&mut net, count - 1, DETECTION_LIMIT));
        net.run_for(DETECTION_LIMIT);
        for index in running_nodes(&net) {
            assert_eq!(member_state(&mut net, index, 1), "dead");
        }
        net.restart(1);
        assert!(wait_for_live(&mut net, count, DETECTION_LIMIT));
        let now = net.now;
        let list = net.nodes[0].machine.view(now).members;
        let member = list.get(&node_id(1)).expect("node 1 is a member");
        assert_eq!(member.incarnation, IncarnationNumber::new(2));
    }
}

#[test]
fn message_loss_declares_no_node_dead() {
    let mut net = settled_net(30, 3, 21);
    net.loss_rate = 0.1;
    for round in 0..30 {
        net.publish_config(10 + round, 300);
        net.run_for(TimeSpan::from_secs(2));
        for index in 0..30 {
            let now = net.now;
            let members = net.nodes[index].machine.view(now).members;
            assert!(members.others.iter().all(|member| member.state != "dead"));
        }
    }
    let agreed = net.run_until(TimeSpan::from_secs(10), |net| net.agree(FeedKind::Config));
    assert!(agreed.is_some());
}

#[test]
fn a_partition_heals() {
    let mut net = settled_net(60, 4, 17);
    for index in 0..20 {
        net.nodes[index].partition = 1;
        net.nodes[index].reaches_platform = false;
    }
    net.publish_config(4, 300);
    net.run_for(TimeSpan::from_secs(120));
    assert!(!net.agree(FeedKind::Config));
    assert_eq!(net.live_count(30), 40);
    for index in 0..20 {
        net.nodes[index].partition = 0;
    }
    let agreed = net.run_until(TimeSpan::from_secs(10), |net| net.agree(FeedKind::Config));
    assert!(agreed.is_some());
    assert!(wait_for_live(&mut net, 60, TimeSpan::from_secs(60)));
}

#[test]
fn leaving_and_handover_reach_all_nodes() {
    let first = IncarnationNumber::new(1);
    let known = |net: &FakeNet| {
        let successor_at = |index: usize| net.nodes[index].machine.successor(&node_id(3), first);
        running_nodes(net)
            .into_iter()
            .all(|index| successor_at(index) == Some(&(node_id(9), first)))
    };
    for seed in 0..6 {
        let mut net = settled_net(60, 4, 200 + seed);
        net.send(3, ClusterEvent::Leave);
        let successor = node_id(9);
        let incarnation = first;
        let event = ClusterEvent::HandOver {
            successor,
            incarnation,
        };
        net.send(3, event);
        net.run_for(TimeSpan::from_millis(400));
        net.kill(3);
        let limit = TimeSpan::from_secs(5);
        assert!(net.run_until(limit, known).is_some());
        assert!(wait_for_live(&mut net, 59, limit));
        net.restart(3);
        assert!(wait_for_live(&mut net, 60, DETECTION_LIMIT));
        net.run_for(TimeSpan::from_secs(5));
        assert!(
            known(&net),
            "the restarted process did not learn of the handover"
        );
    }
}

#[test]
fn a_handover_reaches_all_nodes_despite_heavy_message_loss() {
    let mut net = settled_net(60, 4, 31);
    let first = IncarnationNumber::new(1);
    net.loss_rate = 0.95;
    let successor = node_id(9);
    let incarnation = first;
    let event = ClusterEvent::HandOver {
        successor,
        incarnation,
    };
    net.send(3, event);
    net.run_for(TimeSpan::from_secs(30));
    let known = |net: &FakeNet| {
        let nodes = running_nodes(net).into_iter();
        let successor_at = |index: &usize| net.nodes[*index].machine.successor(&node_id(3), first);
        nodes.filter(|index| successor_at(index).is_some()).count()
    };
    assert!(
        known(&net) < 60,
        "the loss rate is too low: the handover reached all nodes"
    );
    net.loss_rate = 0.0;
    let limit = TimeSpan::from_secs(30);
    assert!(net.run_until(limit, |net| known(net) == 60).is_some());
}

#[test]
fn a_starting_node_learns_all_incarnations_within_seconds() {
    let mut net = settled_net(60, 4, 32);
    net.restart(7);
    net.run_for(TimeSpan::from_secs(3));
    let now = net.now;
    let members = net.nodes[7].machine.view(now).members;
    let first = IncarnationNumber::new(1);
    let others = members
        .live
        .iter()
        .filter(|member| member.node != node_id(7));
    assert!(others.clone().all(|member| member.incarnation == first));
    assert_eq!(others.count(), 59);
}

#[test]
fn an_old_process_is_superseded_by_a_new_one() {
    let mut net = settled_net(9, 3, 23);
    let old = net.nodes[4].machine.clone();
    net.restart(4);
    assert!(
        net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready)
            .is_some()
    );
    net.run_for(TimeSpan::from_secs(5));
    let new = std::mem::replace(&mut net.nodes[4].machine, old);
    net.run_for(TimeSpan::from_secs(5));
    assert_eq!(readiness(&net, 4), Readiness::Superseded);
    net.nodes[4].machine = new;
    assert!(
        net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready)
            .is_some()
    );
}

#[test]
fn a_process_with_an_earlier_incarnation_is_never_ready() {
    let mut net = settled_net(9, 3, 26);
    net.restart_as(4, 9);
    net.run_for(TimeSpan::from_secs(20));
    net.restart_as(4, 5);
    for _ in 0..200 {
        net.run_for(TimeSpan::from_millis(50));
        assert!(!readiness(&net, 4).is_ready());
    }
    assert_eq!(readiness(&net, 4), Readiness::Superseded);
    net.restart_as(4, 10);
    let ready = net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready);
    assert!(ready.is_some());
}

#[test]
fn a_node_listed_as_leaving_owns_no_keys() {
    let mut net = settled_net(9, 3, 24);
    net.list_node(5, VmState::Leaving);
    net.run_for(TimeSpan::from_secs(4));
    let now = net.now;
    for index in [0, 1, 2] {
        let members = net.nodes[index].machine.view(now).members;
        let keys = (0..100).map(|key| format!("key-{key}"));
        assert!(
            keys.map(|key| members
                .owner(&key)
                .expect("the key has an owner")
                .node
                .clone())
                .all(|node| node != node_id(5))
        );
    }
}
