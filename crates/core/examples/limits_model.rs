//! Measures how far distributed rate limits are exceeded or left unused.
//!
//! Simulates the limit tables and lease grantors of a fleet in fixed time steps
//! and prints the allowed events as a percentage of the limit. The result is
//! deterministic.
//!
//! Run with `cargo run --release --example limits_model`.

#[path = "../tests/common/limit_fleet.rs"]
mod limit_fleet;

use verbenahub_core::{clock::TimeSpan, policy::limits::LeaseRule};

use self::limit_fleet::LimitFleet;

const LIMIT: f64 = 100.0;
const WARM_UP: TimeSpan = TimeSpan::from_secs(10);
const MEASURE: TimeSpan = TimeSpan::from_secs(30);
const SECOND: TimeSpan = TimeSpan::from_secs(1);
const TRANSITION: TimeSpan = TimeSpan::from_secs(4);
/// Demand as a multiple of the limit.
const DEMAND: f64 = 3.0;

fn main() {
    println!("| static share | case | allowed, % of the limit |");
    println!("|---|---|---|");
    for static_share in [0.1, 0.2, 0.5] {
        let rule = LeaseRule {
            static_share,
            ..LeaseRule::default()
        };
        print_cases(rule);
    }
    println!();
    println!("| nodes | limit /s | offered, % of the limit | allowed, % of the limit |");
    println!("|---|---|---|---|");
    for size in [9, 50, 200] {
        for limit in [2.0, 25.0, 250.0] {
            print_size(size, limit);
        }
    }
}

fn print_cases(rule: LeaseRule) {
    let print = |case: &str, allowed: f64| {
        println!(
            "| {} | {case} | {:.1} |",
            rule.static_share,
            100.0 * allowed / LIMIT
        );
    };
    let all_nodes = |_| DEMAND * LIMIT / 9.0;
    let first_node = |index| if index == 0 { DEMAND * LIMIT } else { 0.0 };
    let first_two = |index| if index < 2 { DEMAND * LIMIT / 2.0 } else { 0.0 };
    let new_fleet = || LimitFleet::new(9, LIMIT, rule);

    let mut evenly_loaded = new_fleet();
    print(
        "first 4 s, all nodes",
        evenly_loaded.run(TRANSITION, all_nodes),
    );
    evenly_loaded.run(WARM_UP, all_nodes);
    print("all nodes", evenly_loaded.run(MEASURE, all_nodes));

    let mut burst = new_fleet();
    burst.set_burst(200);
    print(
        "first 1 s with a burst of 200",
        burst.run(SECOND, all_nodes),
    );
    print("next 4 s", burst.run(TRANSITION, all_nodes));
    burst.run(WARM_UP, all_nodes);
    print("later", burst.run(MEASURE, all_nodes));

    let mut skewed = new_fleet();
    skewed.run(WARM_UP, first_node);
    print("one node", skewed.run(MEASURE, first_node));
    print("4 s after the demand moved from one node to two others", {
        let moved = |index: usize| if (1..3).contains(&index) { 150.0 } else { 0.0 };
        skewed.run(TRANSITION, moved)
    });

    let mut ownerless = new_fleet();
    ownerless.run(WARM_UP, all_nodes);
    ownerless.stop(ownerless.owner_index());
    print(
        "4 s after the owner stopped, not detected",
        ownerless.run(TRANSITION, all_nodes),
    );
    print(
        "owner stopped, not detected for long",
        ownerless.run(MEASURE, all_nodes),
    );
    ownerless.update_views();
    print(
        "4 s after it was detected",
        ownerless.run(TRANSITION, all_nodes),
    );
    print("new owner", ownerless.run(MEASURE, all_nodes));

    for (name, first_of_second_group) in [("partition 5 to 4", 5), ("partition 8 to 1", 8)] {
        let mut partitioned = new_fleet();
        partitioned.run(WARM_UP, all_nodes);
        partitioned.partition(|index| usize::from(index >= first_of_second_group));
        print(
            &format!("{name}, first 4 s, not detected"),
            partitioned.run(TRANSITION, all_nodes),
        );
        for index in first_of_second_group..9 {
            partitioned.update_view(index);
        }
        print(
            &format!("{name}, detected by one side"),
            partitioned.run(MEASURE, all_nodes),
        );
        partitioned.update_views();
        partitioned.run(WARM_UP, all_nodes);
        print(
            &format!("{name}, detected"),
            partitioned.run(MEASURE, all_nodes),
        );
        partitioned.partition(|_| 0);
        partitioned.update_views();
        print(
            &format!("{name}, 4 s after healing"),
            partitioned.run(TRANSITION, all_nodes),
        );
    }

    let mut minority = new_fleet();
    minority.partition(|index| usize::from(index >= 2));
    minority.update_views();
    minority.run(WARM_UP, first_two);
    print(
        "partition 2 to 7, demand only at the 2",
        minority.run(MEASURE, first_two),
    );
}

fn print_size(size: usize, limit: f64) {
    for share in [0.5, 0.9, 1.5] {
        let mut fleet = LimitFleet::new(size, limit, LeaseRule::default());
        let rate_per_node = limit * share / f64::from(u32::try_from(size).unwrap_or(u32::MAX));
        fleet.run(TimeSpan::from_secs(60), |_| rate_per_node);
        let allowed = fleet.run(TimeSpan::from_secs(120), |_| rate_per_node);
        println!(
            "| {size} | {limit} | {:.0} | {:.1} |",
            100.0 * share,
            100.0 * allowed / limit
        );
    }
}
