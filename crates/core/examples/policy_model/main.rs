//! Simulates the routing and admission policies with a queueing model.
//!
//! Nine nodes share a stage of eight encoders and a stage of twenty engines. The
//! simulation is deterministic for a seed. It prints a table row for each scenario
//! and combination of policies, with the mean and range of each figure over the
//! seeds. An optional argument selects the scenarios whose names contain it.
//!
//! Run with `cargo run --release --example policy_model`.

mod model_target;
mod run_stats;
mod scenario;
mod simulation;

use std::{env, thread};

use verbenahub_core::policy::{admission::AdmissionMode, routing::RoutingMode};

use self::{
    run_stats::{RunStats, SeedRange},
    scenario::{PolicyChoice, Scenario, scenarios},
    simulation::Simulation,
};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    let filter = env::args().nth(1).unwrap_or_default();
    println!(
        "| scenario | routing | admission | attainment % | goodput % of capacity | cost | worst quiet % | refused % | late % | p95 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for scenario in scenarios() {
        if !scenario.name.contains(&filter) {
            continue;
        }
        for choice in choices() {
            print_row(&scenario, choice);
        }
    }
}

fn choices() -> Vec<PolicyChoice> {
    let mut choices = Vec::new();
    for admission in [AdmissionMode::None, AdmissionMode::Adaptive] {
        for routing in [
            RoutingMode::RoundRobin,
            RoutingMode::LeastInFlight,
            RoutingMode::Adaptive,
        ] {
            choices.push(PolicyChoice { routing, admission });
        }
    }
    choices
}

fn print_row(scenario: &Scenario, choice: PolicyChoice) {
    let runs: Vec<RunStats> = thread::scope(|scope| {
        let run = |seed| move || Simulation::new(scenario, choice, seed).run();
        let threads: Vec<_> = SEEDS.iter().map(|seed| scope.spawn(run(*seed))).collect();
        let results = threads.into_iter().map(|thread| thread.join().unwrap());
        results.collect()
    });
    let range = |figure: fn(&RunStats) -> f64| SeedRange::of(runs.iter().map(figure));
    println!(
        "| {} | {:?} | {:?} | {} | {} | {} | {} | {} | {} | {} |",
        scenario.name,
        choice.routing,
        choice.admission,
        range(RunStats::attainment),
        range(RunStats::goodput),
        range(RunStats::cost),
        range(RunStats::worst_quiet_attainment),
        range(RunStats::refused_percent),
        range(RunStats::late_percent),
        range(RunStats::p95_latency),
    );
}
