//! Time of a routing decision and of building a target map, by number of targets.

#[path = "../tests/common/target_fleet.rs"]
mod target_fleet;

use std::{hint::black_box, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::PoolName,
    policy::{
        health::CallOutcome,
        routing::{
            InFlightGuard, PromptPrefix, RouteObjective, RouteRequest, RoutingMode, TargetPool,
        },
    },
    protocol::LoadReport,
};

const NOW: ClockTime = ClockTime::from_millis(10_000);
const TARGET_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];

fn bench_choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_choose");
    let no_prefix = PromptPrefix::none();
    let prompt_prefix = PromptPrefix::of(&[5; 4_096], 0);
    for size in TARGET_COUNTS {
        let pool = target_pool(size);
        let cases = [
            ("round_robin", RoutingMode::RoundRobin, &no_prefix),
            ("least_in_flight", RoutingMode::LeastInFlight, &no_prefix),
            ("adaptive", RoutingMode::Adaptive, &no_prefix),
            ("adaptive_prompt", RoutingMode::Adaptive, &prompt_prefix),
        ];
        for (name, mode, prefix) in cases {
            let mut seed = 0;
            group.bench_function(BenchmarkId::new(name, size), |bencher| {
                bencher.iter(|| {
                    seed += 1;
                    let request = RouteRequest {
                        seed,
                        mode,
                        objective: RouteObjective::Attainment,
                        model: None,
                        prefix,
                        prompt_time: TimeSpan::from_millis(50),
                        tried: &[],
                    };
                    black_box(pool.choose(&request, NOW))
                });
            });
        }
        group.bench_function(BenchmarkId::new("report_and_finish", size), |bencher| {
            let report = LoadReport {
                running: 3,
                capacity: 8,
                ..LoadReport::default()
            };
            bencher.iter(|| {
                choose_with_fixed_seed(&pool, &no_prefix)
                    .inspect(|guard| guard.report(&report, NOW))
                    .map(|guard| guard.finish(CallOutcome::Answered, NOW))
            });
        });
        group.bench_function(BenchmarkId::new("load", size), |bencher| {
            bencher.iter(|| black_box(pool.load(9, NOW)));
        });
    }
    group.finish();
}

fn target_pool(size: usize) -> Arc<TargetPool> {
    let name = PoolName::new("engines").unwrap();
    Arc::clone(target_fleet::target_map(size).pool(&name).unwrap())
}

fn choose_with_fixed_seed(pool: &Arc<TargetPool>, prefix: &PromptPrefix) -> Option<InFlightGuard> {
    let request = RouteRequest {
        seed: 7,
        mode: RoutingMode::Adaptive,
        objective: RouteObjective::Attainment,
        model: None,
        prefix,
        prompt_time: TimeSpan::ZERO,
        tried: &[],
    };
    pool.choose(&request, NOW)
}

fn bench_build(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_build");
    for size in TARGET_COUNTS {
        group.bench_function(BenchmarkId::new("map", size), |bencher| {
            bencher.iter(|| black_box(target_fleet::target_map(size)));
        });
    }
    group.bench_function("prompt_prefix_4_kib", |bencher| {
        bencher.iter(|| black_box(PromptPrefix::of(&[5; 4_096], 0)));
    });
    group.finish();
}

criterion_group! {
    name = routing;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800));
    targets = bench_choose, bench_build
}
criterion_main!(routing);
