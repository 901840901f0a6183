//! Time of a routing decision and of building a map, by number of replicas.

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
const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_choose");
    let none = PromptPrefix::none();
    let prompt = PromptPrefix::of(&[5; 4_096], 0);
    for size in SIZES {
        let pool = target_pool(size);
        let cases = [
            ("round_robin", RoutingMode::RoundRobin, &none),
            ("least_in_flight", RoutingMode::LeastInFlight, &none),
            ("adaptive", RoutingMode::Adaptive, &none),
            ("adaptive_prompt", RoutingMode::Adaptive, &prompt),
        ];
        for (name, mode, prefix) in cases {
            let mut seed = 0;
            group.bench_function(BenchmarkId::new(name, size), |bencher| {
                bencher.iter(|| {
                    seed += 1;
                    let ask = RouteRequest {
                        seed,
                        mode,
                        objective: RouteObjective::Attainment,
                        model: None,
                        prefix,
                        prompt_time: TimeSpan::from_millis(50),
                        tried: &[],
                    };
                    black_box(pool.choose(&ask, NOW))
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
                seed_choice(&pool, &none)
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

fn seed_choice(pool: &Arc<TargetPool>, prefix: &PromptPrefix) -> Option<InFlightGuard> {
    let ask = RouteRequest {
        seed: 7,
        mode: RoutingMode::Adaptive,
        objective: RouteObjective::Attainment,
        model: None,
        prefix,
        prompt_time: TimeSpan::ZERO,
        tried: &[],
    };
    pool.choose(&ask, NOW)
}

fn build(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("routing_build");
    for size in SIZES {
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
    targets = choose, build
}
criterion_main!(routing);
