//! Time of limit decisions, by number of workspaces and nodes.

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
const WORKSPACES: [u32; 5] = [10, 100, 1_000, 10_000, 16_000];
const NODES: [u32; 4] = [9, 100, 1_000, 2_000];

fn spaces(size: u32) -> Vec<WorkspaceHash> {
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

fn table(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limits");
    for size in WORKSPACES {
        let table = LimitTable::new(LeaseRule::default());
        let spaces = spaces(size);
        let view = OwnerView::new((0..9).map(node), 9);
        let mut next = 0;
        let mut take = || {
            next = (next + 1) % spaces.len();
            table.try_acquire(spaces[next], limit(), 9, NOW)
        };
        for _ in 0..size {
            let _ = take();
        }
        group.bench_function(BenchmarkId::new("take", size), |bencher| {
            bencher.iter(|| black_box(take()));
        });
        group.bench_function(BenchmarkId::new("end_interval", size), |bencher| {
            let second = TimeSpan::from_secs(1);
            bencher.iter(|| black_box(table.end_interval(&node(0), &view, second, NOW)));
        });
    }
    group.finish();
}

fn home(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("limits_home");
    for size in NODES {
        let view = OwnerView::new((0..size).map(node), 0);
        let spaces = spaces(1_000);
        let mut next = 0;
        group.bench_function(BenchmarkId::new("home_of", size), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % spaces.len();
                black_box(view.owner(spaces[next]))
            });
        });
    }
    let view = OwnerView::new([node(0)], 9);
    let mut home = LeaseGrantor::new(node(0), LeaseRule::default(), view, NOW);
    let workspace = spaces(1)[0];
    let mut holder = 0;
    group.bench_function("answer_9_holders", |bencher| {
        bencher.iter(|| {
            holder = (holder + 1) % 9;
            let ask = LeaseRequest {
                workspace,
                wanted: 10.0,
                tokens: 0,
            };
            let batch = LeaseBatch {
                holder: node(holder),
                asks: vec![ask],
            };
            let later = NOW + TimeSpan::from_secs(10);
            black_box(home.answer(&batch, |_| Some(limit().rate), later))
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
    targets = table, home
}
criterion_main!(limits);
