//! Time per limit decision and per lease message, by number of workspaces and
//! nodes.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, WorkspaceId},
    policy::{
        WorkspaceHash,
        limits::{
            LeaseBatch, LeaseGrantor, LeaseRequest, LeaseRule, LimitTable, OwnerView,
            WorkspaceLimit,
        },
    },
    units::RateLimit,
};

const NOW: ClockTime = ClockTime::from_millis(10_000);
const WORKSPACE_COUNTS: [u32; 5] = [10, 100, 1_000, 10_000, 16_000];
const NODE_COUNTS: [u32; 4] = [9, 100, 1_000, 2_000];

fn workspaces(size: u32) -> Vec<WorkspaceHash> {
    let workspace = |index| WorkspaceId::new(&format!("workspace-{index}")).unwrap();
    (0..size)
        .map(|index| WorkspaceHash::of(&workspace(index)))
        .collect()
}

fn node(index: u32) -> NodeId {
    NodeId::new(&format!("node-{index}")).unwrap()
}

fn limit() -> WorkspaceLimit {
    WorkspaceLimit {
        rate: RateLimit::per_second(1e9).unwrap(),
        burst: 100,
    }
}

fn bench_table(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limits");
    for size in WORKSPACE_COUNTS {
        let table = LimitTable::new(LeaseRule::default());
        let workspaces = workspaces(size);
        let view = OwnerView::new((0..9).map(node), 9);
        let mut next = 0;
        let mut acquire = || {
            next = (next + 1) % workspaces.len();
            table.try_acquire(workspaces[next], limit(), 9, NOW)
        };
        for _ in 0..size {
            let _ = acquire();
        }
        group.bench_function(BenchmarkId::new("try_acquire", size), |bencher| {
            bencher.iter(|| black_box(acquire()));
        });
        group.bench_function(BenchmarkId::new("end_interval", size), |bencher| {
            let second = TimeSpan::from_secs(1);
            bencher.iter(|| black_box(table.end_interval(&node(0), &view, second, NOW)));
        });
    }
    group.finish();
}

fn bench_leases(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limits_owner");
    for size in NODE_COUNTS {
        let view = OwnerView::new((0..size).map(node), 0);
        let workspaces = workspaces(1_000);
        let mut next = 0;
        group.bench_function(BenchmarkId::new("owner_of", size), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % workspaces.len();
                black_box(view.owner(workspaces[next]))
            });
        });
    }
    let view = OwnerView::new([node(0)], 9);
    let mut grantor = LeaseGrantor::new(node(0), LeaseRule::default(), view, NOW);
    let workspace = workspaces(1)[0];
    let mut holder = 0;
    group.bench_function("answer_9_holders", |bencher| {
        bencher.iter(|| {
            holder = (holder + 1) % 9;
            let request = LeaseRequest {
                workspace,
                wanted: 10.0,
                tokens: 0,
            };
            let batch = LeaseBatch {
                holder: node(holder),
                asks: vec![request],
            };
            let later = NOW + TimeSpan::from_secs(10);
            black_box(grantor.answer(&batch, |_| Some(limit().rate), later))
        });
    });
    group.finish();
}

criterion_group! {
    name = limits;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800));
    targets = bench_table, bench_leases
}
criterion_main!(limits);
