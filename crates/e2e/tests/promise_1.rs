//! Every stage result reaches exactly the request it belongs to, once.

use std::{
    thread,
    time::{Duration, Instant},
};

use verbenahub_e2e::{
    TestSlot,
    caller::{AuditReport, CallerGroup, CallerVerdict, PipelineCaller, SamplePipeline},
    cluster::{ClusterPlan, RunningCluster, TargetPool},
};
use verbenahub_standins::server::FaultSpec;

const STREAMS: [SamplePipeline; 2] = [SamplePipeline::Chat, SamplePipeline::Survey];
/// How long requests are sent at least.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Requests that were answered whole under load, at least.
const WHOLE_REQUESTS: usize = 20;
/// Periods of load in which a slow machine may get that far.
const MAX_PERIODS: usize = 10;

fn start() -> RunningCluster {
    let fast = ["--token-ms", "0.5"];
    let plan = ClusterPlan::default().serves(&STREAMS);
    plan.arguments(TargetPool::Engines, &fast).start()
}

/// Sends requests for a while, and on until enough of them were answered whole, and
/// audits all of them.
fn audit_load(cluster: &RunningCluster, label: &str) {
    let balancer = cluster.balancer();
    let mut whole = 0;
    for period in 0..MAX_PERIODS {
        let label = format!("{label} {period}");
        let group = CallerGroup::start(&label, &balancer, &STREAMS, 4);
        thread::sleep(LOAD_TIME);
        let sent = group.stop();
        let report = AuditReport::of_cluster(cluster, &sent);
        println!("{label}: {} of {} whole", report.whole, report.requests);
        assert!(report.breaches.is_empty(), "{:#?}", report.breaches);
        whole += report.whole;
        if whole >= WHOLE_REQUESTS {
            return;
        }
    }
    panic!("{label}: {whole} of {WHOLE_REQUESTS} requests whole");
}

/// Puts faults into the first replica of each pool.
fn fault_first(cluster: &RunningCluster, spec: FaultSpec) {
    for pool in TargetPool::ALL {
        let first = cluster.pool(pool).next().expect("a replica");
        first.standin.fault(spec);
    }
}

#[test]
fn promise_1_late_answers_reach_nobody_else() {
    let _slot = TestSlot::shared();
    let cluster = start();
    audit_load(&cluster, "before");
    fault_first(
        &cluster,
        FaultSpec {
            late_ms: Some(300),
            ..FaultSpec::default()
        },
    );
    audit_load(&cluster, "late answers");
}

#[test]
fn promise_1_slow_and_failing_replicas_cross_nothing() {
    let _slot = TestSlot::shared();
    let cluster = start();
    fault_first(
        &cluster,
        FaultSpec {
            slow_factor: Some(10.0),
            fail_share: Some(0.2),
            ..FaultSpec::default()
        },
    );
    audit_load(&cluster, "slow and failing");
}

#[test]
fn promise_1_answers_of_other_requests_are_dropped() {
    let _slot = TestSlot::shared();
    let cluster = start();
    for target in &cluster.targets {
        target.standin.fault(FaultSpec {
            alien_share: Some(0.05),
            ..FaultSpec::default()
        });
    }
    audit_load(&cluster, "alien answers");
}

#[test]
fn promise_1_connections_after_callers_hung_up_cross_nothing() {
    let _slot = TestSlot::shared();
    let cluster = start();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < LOAD_TIME {
        let node = &cluster.nodes[number % cluster.nodes.len()];
        let hasty = Duration::from_millis(5 + 7 * (number as u64 % 10));
        let body = format!("hung up {number}").into_bytes();
        let caller = PipelineCaller::new(node.public).limit(hasty);
        let verdict = caller.call(SamplePipeline::Survey, &body);
        let expected = SamplePipeline::Survey.expected(&body);
        assert!(
            !matches!(&verdict, CallerVerdict::Whole(answer) if *answer != expected),
            "{verdict:?}"
        );
        number += 1;
    }
    audit_load(&cluster, "after callers hung up");
}

#[test]
fn promise_1_ids_do_not_collide_after_restarts() {
    let _slot = TestSlot::shared();
    let mut cluster = start();
    let balancer = cluster.balancer();
    for round in 0..3 {
        let label = format!("round {round}");
        let group = CallerGroup::start(&label, &balancer, &STREAMS, 3);
        thread::sleep(Duration::from_millis(500));
        for node in &mut cluster.nodes {
            node.restart();
        }
        cluster.wait_serving();
        let sent = group.stop();
        let report = AuditReport::of_cluster(&cluster, &sent);
        assert!(report.breaches.is_empty(), "{:#?}", report.breaches);
    }
}
