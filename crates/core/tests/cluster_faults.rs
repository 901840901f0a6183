//! Random fault schedules on a simulated in-memory network.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::TimeSpan,
    cluster::{ClusterEvent, Readiness},
    feed::FeedKind,
    ids::RevisionNumber,
};

mod fake_net;

use self::fake_net::{
    FakeNet,
    checks::{all_feeds_agree, readiness, running_nodes, settled_net, wait_for_live},
};

/// One step of a random schedule: a fault, its end, or a published change.
#[derive(Clone, Copy, Debug)]
enum FaultStep {
    Publish(u64),
    Delete(u64),
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Isolate(usize),
    Partition(u32),
    PlatformDown(bool),
    StaleService(bool),
    CompactHistory,
    MessageLoss(bool),
    Leave(usize),
}

fn fault_steps() -> impl Strategy<Value = FaultStep> {
    let node = 0..NODES;
    prop_oneof![
        4 => (0_u64..6).prop_map(FaultStep::Publish),
        2 => (0_u64..6).prop_map(FaultStep::Delete),
        1 => node.clone().prop_map(FaultStep::Kill),
        2 => node.clone().prop_map(FaultStep::Restart),
        2 => (node.clone(), 1_u64..30).prop_map(|(node, secs)| FaultStep::Pause(node, secs)),
        2 => node.clone().prop_map(FaultStep::Isolate),
        2 => (0_u32..64).prop_map(FaultStep::Partition),
        2 => any::<bool>().prop_map(FaultStep::PlatformDown),
        1 => any::<bool>().prop_map(FaultStep::StaleService),
        1 => Just(FaultStep::CompactHistory),
        1 => any::<bool>().prop_map(FaultStep::MessageLoss),
        1 => node.prop_map(FaultStep::Leave),
    ]
}

const NODES: usize = 6;

fn apply_step(net: &mut FakeNet, step: FaultStep) {
    match step {
        FaultStep::Publish(name) => net.publish_config(name, 40),
        FaultStep::Delete(name) => {
            let key = format!("pipelines/p{name}/1-00000000");
            net.service(FeedKind::Config).publish(&key, None);
        }
        FaultStep::Kill(index) => net.kill(index),
        FaultStep::Restart(index) => net.restart(index),
        FaultStep::Pause(index, secs) => net.pause(index, TimeSpan::from_secs(secs)),
        FaultStep::Isolate(index) => {
            net.nodes[index].partition = 9;
            net.nodes[index].reaches_platform = false;
        }
        FaultStep::Partition(mask) => {
            for index in 0..NODES {
                net.nodes[index].partition = (mask >> index) & 1;
            }
        }
        FaultStep::PlatformDown(down) => net.set_platform_down(down),
        FaultStep::StaleService(stale) => {
            let service = net.service(FeedKind::Config);
            let length = service.len();
            service.stale_at = stale.then_some(length / 2);
        }
        FaultStep::CompactHistory => {
            let service = net.service(FeedKind::Config);
            service.compacted_until = service.len();
        }
        FaultStep::MessageLoss(lossy) => net.loss_rate = if lossy { 0.2 } else { 0.0 },
        FaultStep::Leave(index) => net.send(index, ClusterEvent::Leave),
    }
}

/// Ends all faults and restarts the nodes that left or were killed.
fn heal(net: &mut FakeNet) {
    net.set_platform_down(false);
    net.service(FeedKind::Config).stale_at = None;
    net.loss_rate = 0.0;
    for index in 0..NODES {
        let leaving = readiness(net, index) == Readiness::Leaving;
        if !net.nodes[index].running || leaving {
            net.restart(index);
        }
        net.nodes[index].partition = 0;
        net.nodes[index].reaches_platform = true;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_c1a5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any faults, no node's configuration revision decreases except by a
    /// restart, and a ready node has a configuration. After the faults end, all
    /// nodes converge to the same feeds, become ready and see each other as alive.
    #[test]
    fn any_faults_heal(seed in any::<u64>(), steps in vec((fault_steps(), 100_u64..4_000), 1..30)) {
        let mut net = settled_net(NODES, 3, seed);
        for (step, millis) in steps {
            apply_step(&mut net, step);
            let restarted = match step {
                FaultStep::Restart(index) => Some(index),
                _ => None,
            };
            let before = net.all_versions(FeedKind::Config);
            net.run_for(TimeSpan::from_millis(millis));
            let after = net.all_versions(FeedKind::Config);
            for index in (0..NODES).filter(|index| Some(*index) != restarted) {
                prop_assert!(before[index].revision <= after[index].revision);
            }
            for index in running_nodes(&net) {
                let held = after[index].revision > RevisionNumber::ZERO;
                prop_assert!(held || !readiness(&net, index).is_ready());
            }
        }
        heal(&mut net);
        let agreed = net.run_until(TimeSpan::from_secs(60), |net| net.all_ready() && all_feeds_agree(net));
        prop_assert!(agreed.is_some(), "{:?}", net.all_versions(FeedKind::Config));
        prop_assert!(wait_for_live(&mut net, NODES, TimeSpan::from_secs(60)));
    }
}
