//! Property tests: over many processes a ticket has at most one side effect, with
//! any loss of messages, any clocks and any order of events.

mod ticket_simulation;

use std::cell::Cell;

use proptest::{
    collection::vec,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::ticket_simulation::{EventWeights, SimulationEvent, SimulationStats, TicketSimulation};

/// Many tickets and all kinds of events.
const MIXED: EventWeights = EventWeights {
    issue: 3,
    call: 8,
    run: 10,
    wait: 2,
    replace: 1,
    seal: 2,
    offer: 5,
    redeliver: 2,
    tickets: 8,
};

/// Few tickets that are handed over many times.
const HANDOVERS: EventWeights = EventWeights {
    issue: 1,
    call: 8,
    run: 8,
    wait: 1,
    replace: 0,
    seal: 1,
    offer: 8,
    redeliver: 4,
    tickets: 2,
};

fn run_simulations(weights: EventWeights, seed: u64, cases: u32) -> SimulationStats {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    };
    let total = Cell::new(SimulationStats::default());
    let events = vec(SimulationEvent::any(weights), 20..160);
    let result = TestRunner::new(config).run(&events, |events| {
        let mut simulation = TicketSimulation::new();
        for event in &events {
            simulation.apply(event);
        }
        let mut stats = total.get();
        stats.add(&simulation.checker.stats);
        total.set(stats);
        Ok(())
    });
    result.unwrap();
    println!("{:?}", total.get());
    total.get()
}

/// Checks that the simulations covered the cases that they are meant to test.
fn check_coverage(stats: SimulationStats) {
    assert!(stats.effects > 1_000, "too few effects: {stats:?}");
    assert!(stats.repeats > 100, "too few repeats: {stats:?}");
    assert!(stats.joins > 100, "too few joins: {stats:?}");
    assert!(stats.redirects > 100, "too few redirected calls: {stats:?}");
    assert!(stats.handovers > 100, "too few handovers: {stats:?}");
    assert!(stats.late_answers > 100, "too few late answers: {stats:?}");
    assert!(stats.renewals > 100, "too few renewed permits: {stats:?}");
    assert!(stats.not_run > 100, "too few not_run outcomes: {stats:?}");
}

#[test]
fn no_ticket_has_two_effects_and_no_answer_changes() {
    check_coverage(run_simulations(MIXED, 4_711, 6_000));
}

#[test]
fn no_ticket_has_two_effects_over_chains_of_handovers() {
    check_coverage(run_simulations(HANDOVERS, 4_712, 12_000));
}
