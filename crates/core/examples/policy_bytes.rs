//! Measures the memory that the state of the policies takes, as the growth of the
//! resident set size of the process.
//!
//! Run with `cargo run --release --example policy_bytes`.

#[path = "../tests/common/target_fleet.rs"]
mod target_fleet;

use std::{fs, hint::black_box};

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::WorkspaceId,
    policy::{
        WorkspaceHash,
        admission::{AdmissionController, AdmissionRule, PoolLoad, RequestArrival, StageDemand},
        limits::{LeaseRule, LimitTable, WorkspaceLimit},
        routing::CacheHints,
    },
    units::RateLimit,
};

const NOW: ClockTime = ClockTime::from_millis(10_000);
const KIB: u64 = 1_024;

fn main() {
    println!("| state | count | bytes each |");
    println!("|---|---|---|");
    print_size("targets", 10_000, || target_fleet::target_map(10_000));
    print_size("workspaces in the limit table", 16_000, limit_table);
    print_size(
        "admitted requests, four stages",
        16_000,
        admission_controller,
    );
    print_size("cache hints of a pool", 1, || {
        let hints = CacheHints::default();
        black_box(&hints);
        hints
    });
}

fn print_size<Build, State>(name: &str, count: u64, build: Build)
where
    Build: FnOnce() -> State,
{
    let before = resident_kib();
    let state = build();
    let after = resident_kib();
    black_box(&state);
    let bytes_each = after.saturating_sub(before) * KIB / count;
    println!("| {name} | {count} | {bytes_each} |");
    // Leaks the state, so that the next state does not reuse its memory.
    std::mem::forget(state);
}

/// Resident set size of this process, in KiB; zero if it cannot be read.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn workspace(index: u64) -> WorkspaceHash {
    WorkspaceHash::of(&WorkspaceId::new(&format!("workspace-{index}")).unwrap())
}

fn limit_table() -> LimitTable {
    let table = LimitTable::new(LeaseRule::default());
    let limit = WorkspaceLimit {
        rate: RateLimit::per_second(25.0).unwrap(),
        burst: 10,
    };
    for index in 0..16_000 {
        let _ = table.try_acquire(workspace(index), limit, 9, NOW);
    }
    table
}

fn admission_controller() -> AdmissionController {
    let mut controller = AdmissionController::new(AdmissionRule {
        request_limit: usize::MAX,
        ..AdmissionRule::default()
    });
    let work = TimeSpan::from_millis(100);
    let mut stages = Vec::new();
    for _ in 0..4 {
        let pool = controller.add_pool();
        let load = PoolLoad {
            capacity: 1_000.0,
            others: 0.0,
            nodes: 1.0,
        };
        controller.update(pool, &load, NOW, &mut Vec::new());
        stages.push(StageDemand {
            pool,
            time: work,
            work,
        });
    }
    for index in 0..16_000 {
        let arrival = RequestArrival {
            workspace: workspace(index),
            deadline: NOW + TimeSpan::from_secs(36_000),
            stages: &stages,
        };
        let _ = controller.admit(&arrival, NOW);
    }
    controller
}
