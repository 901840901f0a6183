//! Readiness of nodes on a simulated in-memory network.

use verbenahub_core::{clock::TimeSpan, cluster::Readiness, feed::FeedKind, ids::RevisionNumber};

mod fake_net;

use self::fake_net::{
    FakeNet,
    checks::{member_state, readiness, revision, settled_net, wait_for_live},
};

const CUT_OFF_LIMIT: TimeSpan = TimeSpan::from_millis(6_200);
const DETECTION_LIMIT: TimeSpan = TimeSpan::from_secs(25);

#[test]
fn a_paused_node_contacts_its_peers_before_it_is_ready() {
    let mut net = settled_net(9, 3, 10);
    net.pause(2, TimeSpan::from_secs(40));
    net.run_for(TimeSpan::from_secs(39));
    net.publish_config(9, 400);
    let newest = RevisionNumber::new(3);
    while revision(&net, 0, FeedKind::Config) < newest {
        net.run_for(TimeSpan::from_millis(10));
    }
    assert_eq!(net.live_count(0), 8);
    assert_eq!(readiness(&net, 2), Readiness::Resuming);
    while !readiness(&net, 2).is_ready() {
        net.run_for(TimeSpan::from_millis(1));
        assert!(net.now < fake_net::start() + TimeSpan::from_secs(120));
    }
    assert_eq!(revision(&net, 2, FeedKind::Config), newest);
    assert!(
        net.live_count(2) >= 8,
        "the resumed node declared other nodes dead"
    );
    assert!(wait_for_live(&mut net, 9, DETECTION_LIMIT));
}

/// A change is published while the process is paused only briefly. The node must
/// not serve with the old configuration when it resumes.
#[test]
fn a_node_catches_up_after_a_short_pause_before_it_is_ready() {
    for seed in 0..8 {
        let mut net = settled_net(9, 3, 100 + seed);
        net.pause(2, TimeSpan::from_secs(4));
        net.run_for(TimeSpan::from_secs(2));
        net.publish_config(9, 400);
        let agreed = net.run_until(TimeSpan::from_millis(1_500), |net| {
            (0..9)
                .filter(|index| *index != 2)
                .all(|index| revision(net, index, FeedKind::Config) == RevisionNumber::new(3))
        });
        assert!(agreed.is_some());
        for _ in 0..3_000 {
            net.run_for(TimeSpan::from_millis(1));
            let newest = revision(&net, 2, FeedKind::Config) == RevisionNumber::new(3);
            assert!(newest || !readiness(&net, 2).is_ready());
        }
        assert!(readiness(&net, 2).is_ready());
    }
}

#[test]
fn a_node_that_resumes_isolated_stays_unready() {
    let mut net = settled_net(9, 3, 11);
    net.pause(2, TimeSpan::from_secs(20));
    net.nodes[2].partition = 1;
    net.nodes[2].reaches_platform = false;
    for _ in 0..400 {
        net.run_for(TimeSpan::from_millis(100));
        let pause_over = net.now > fake_net::start() + TimeSpan::from_secs(27);
        assert!(!pause_over || !readiness(&net, 2).is_ready());
    }
    net.nodes[2].partition = 0;
    assert!(
        net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready)
            .is_some()
    );
}

/// Node 2 pauses while it suspects node 5. When it resumes, node 5 must get the
/// time to refute the suspicion.
#[test]
fn a_pause_does_not_count_toward_the_suspicion_timeout() {
    let mut net = settled_net(60, 4, 27);
    net.nodes[5].partition = 1;
    while member_state(&mut net, 2, 5) != "suspect" {
        net.run_for(TimeSpan::from_millis(10));
    }
    net.pause(2, TimeSpan::from_secs(20));
    net.nodes[2].partition = 2;
    net.nodes[5].partition = 0;
    net.run_for(TimeSpan::from_secs(19));
    net.nodes[2].partition = 0;
    for _ in 0..300 {
        net.run_for(TimeSpan::from_millis(10));
        assert_ne!(member_state(&mut net, 2, 5), "dead");
    }
    assert!(wait_for_live(&mut net, 60, DETECTION_LIMIT));
}

#[test]
fn a_node_that_is_cut_off_turns_unready_in_time() {
    for (count, seed) in [(2, 12), (3, 13), (9, 14), (60, 15)] {
        let mut net = settled_net(count, 3, seed);
        net.nodes[1].partition = 1;
        net.nodes[1].reaches_platform = false;
        net.run_for(CUT_OFF_LIMIT);
        assert_eq!(readiness(&net, 1), Readiness::CutOff, "{count} nodes");
        assert!(readiness(&net, 0).is_ready());
        net.run_for(TimeSpan::from_secs(60));
        let now = net.now;
        let members = net.nodes[1].machine.view(now).members;
        assert!(members.others.iter().all(|member| member.state != "dead"));
        net.nodes[1].partition = 0;
        assert!(
            net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready)
                .is_some()
        );
    }
}

#[test]
fn the_larger_part_works_on_without_the_platform() {
    let mut net = settled_net(9, 3, 16);
    net.set_platform_down(true);
    for index in 0..3 {
        net.nodes[index].partition = 1;
    }
    net.run_for(TimeSpan::from_secs(60));
    for index in 0..9 {
        assert_eq!(
            readiness(&net, index).is_ready(),
            index >= 3,
            "node {index}"
        );
    }
    for index in 0..3 {
        net.nodes[index].partition = 0;
    }
    assert!(
        net.run_until(TimeSpan::from_secs(10), FakeNet::all_ready)
            .is_some()
    );
    assert!(wait_for_live(&mut net, 9, DETECTION_LIMIT));
}
