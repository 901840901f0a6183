//! Benchmarks of admission decisions, by number of workspaces with requests.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::WorkspaceId,
    policy::{
        WorkspaceHash,
        admission::{
            AdmissionController, AdmissionDecision, AdmissionId, AdmissionRule, FairQueue,
            PoolLoad, QueuedCall, RequestArrival, StageDemand, StageTimes,
        },
    },
};

const NOW: ClockTime = ClockTime::from_millis(10_000);
const SIZES: [u32; 5] = [10, 100, 1_000, 10_000, 16_000];
const STAGES: usize = 4;
const WORK: TimeSpan = TimeSpan::from_millis(100);

fn workspace(index: u32) -> WorkspaceHash {
    WorkspaceHash::of(&WorkspaceId::new(&format!("workspace-{index}")).unwrap())
}

/// A controller with one request in progress per workspace.
fn controller(size: u32) -> (AdmissionController, Vec<StageDemand>) {
    let mut controller = AdmissionController::new(AdmissionRule {
        request_limit: usize::MAX,
        ..AdmissionRule::default()
    });
    let pools: Vec<_> = (0..STAGES).map(|_| controller.add_pool()).collect();
    let load = PoolLoad {
        capacity: 1_000.0,
        others: 0.0,
        nodes: 1.0,
    };
    for pool in &pools {
        controller.update(*pool, &load, NOW, &mut Vec::new());
    }
    let demand = |pool: &_| StageDemand {
        pool: *pool,
        time: WORK,
        work: WORK,
    };
    let stages: Vec<StageDemand> = pools.iter().map(demand).collect();
    for index in 0..size {
        let arrival = arrival(index, &stages);
        if let AdmissionDecision::Admitted(id) = controller.admit(&arrival, NOW) {
            let _ = controller.start(id, NOW);
        }
    }
    (controller, stages)
}

fn arrival(index: u32, stages: &[StageDemand]) -> RequestArrival<'_> {
    RequestArrival {
        workspace: workspace(index),
        deadline: NOW + TimeSpan::from_secs(3_600),
        stages,
    }
}

fn bench_admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for size in SIZES {
        let (mut controller, stages) = controller(size);
        let own_workspace = workspace(size / 2);
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::new("arrive_and_leave", size), |bencher| {
            let arrival = RequestArrival {
                workspace: own_workspace,
                ..arrival(0, &stages)
            };
            bencher.iter(|| {
                if let AdmissionDecision::Admitted(id) = controller.admit(&arrival, NOW) {
                    controller.remove(id, NOW, &mut actions);
                }
            });
        });
        group.bench_function(BenchmarkId::new("refuse", size), |bencher| {
            let arrival = RequestArrival {
                workspace: own_workspace,
                deadline: NOW + TimeSpan::from_millis(300),
                stages: &stages,
            };
            bencher.iter(|| black_box(controller.admit(&arrival, NOW)));
        });
    }
    group.finish();
}

fn bench_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission_queue");
    for size in SIZES {
        let mut queue = FairQueue::new(TimeSpan::from_millis(500));
        let call = |id: u32| QueuedCall {
            latest_start: NOW + TimeSpan::from_millis(u64::from(id % 997)),
            request: AdmissionId::new(u64::from(id)),
            work: WORK,
        };
        for index in 0..size {
            queue.push(workspace(index), call(index));
        }
        let workspaces: Vec<WorkspaceHash> = (0..size).map(workspace).collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::new("push_and_pop", size), |bencher| {
            bencher.iter(|| {
                let index = usize::try_from(next % size).unwrap_or(0);
                queue.push(workspaces[index], call(next));
                next = next.wrapping_add(1);
                black_box(queue.pop())
            });
        });
    }
    let times = StageTimes::default();
    for millis in 1..1_000 {
        let span = TimeSpan::from_millis(millis);
        times.record(span, span, 0.4);
    }
    group.bench_function("stage_time", |bencher| {
        bencher.iter(|| black_box(times.time(0.75, 0.4, WORK)));
    });
    group.bench_function("stage_record", |bencher| {
        bencher.iter(|| times.record(WORK, WORK, 0.4));
    });
    group.finish();
}

criterion_group! {
    name = admission;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800));
    targets = bench_admit, bench_queue
}
criterion_main!(admission);
