//! Memory of the policies' state, from the resident size of the process.
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
    print("replicas", 10_000, || target_fleet::target_map(10_000));
    print("workspaces in the limit table", 16_000, limit_table);
    print("requests under way, four stages", 16_000, machine);
    print("cache hints of a pool", 1, || {
        let hints = CacheHints::default();
        black_box(&hints);
        hints
    });
}

fn print<Build, State>(name: &str, count: u64, build: Build)
where
    Build: FnOnce() -> State,
{
    let before = resident();
    let state = build();
    let after = resident();
    black_box(&state);
    let each = after.saturating_sub(before) * KIB / count;
    println!("| {name} | {count} | {each} |");
    // Kept, so that the next state does not reuse the memory.
    std::mem::forget(state);
}

/// Resident size of this process, in KiB.
fn resident() -> u64 {
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

fn machine() -> AdmissionController {
    let mut machine = AdmissionController::new(AdmissionRule {
        request_limit: usize::MAX,
        ..AdmissionRule::default()
    });
    let work = TimeSpan::from_millis(100);
    let mut stages = Vec::new();
    for _ in 0..4 {
        let pool = machine.add_pool();
        let load = PoolLoad {
            capacity: 1_000.0,
            others: 0.0,
            nodes: 1.0,
        };
        machine.update(pool, &load, NOW, &mut Vec::new());
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
        let _ = machine.admit(&arrival, NOW);
    }
    machine
}
