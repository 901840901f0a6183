//! Assignment of prompts to engines that differ in speed, replayed in virtual
//! time: engines read prompts in chunks and advance their streams between chunks.

mod engine_fixture;
mod engine_simulation;

use verbenahub_core::engines::{PromptProgress, PromptStep};

use self::{
    engine_fixture::{ENGINES, engines, progress},
    engine_simulation::{Simulation, SimulationResult},
};

/// Speeds of the engines of one service, as measured on deployment B.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// A minute of load on engines of three speeds, of which 15 in 100 slow down.
fn simulate_uneven(is_learning: bool, seed: u64) -> SimulationResult {
    let mut simulation = Simulation::new(&uneven_speeds(), seed);
    simulation.is_learning = is_learning;
    simulation.has_slow_downs = true;
    simulation.run(60_000)
}

fn uneven_speeds() -> Vec<f64> {
    SPEEDS.into_iter().cycle().take(4 * ENGINES).collect()
}

/// Guards against choices that treat engines of different speeds alike.
#[test]
fn prompts_are_read_sooner_when_the_speed_of_engines_is_learned() {
    for seed in 1..=3 {
        let (blind, learned) = (simulate_uneven(false, seed), simulate_uneven(true, seed));
        println!("seed {seed}: blind {blind}, learned {learned}");
        assert!(learned.quantile(50) <= 0.9 * blind.quantile(50));
        assert!(learned.quantile(90) <= 0.95 * blind.quantile(90));
        assert!(100 * learned.late_streams <= 65 * blind.late_streams);
        assert!(100 * learned.read_tokens <= 110 * blind.read_tokens);
        // Slow engines keep an eighth of an equal share at least.
        let least = learned.assigned.iter().min().expect("engines");
        let total: usize = learned.assigned.iter().sum();
        assert!(least * ENGINES * 4 * 8 >= total, "{:?}", learned.assigned);
    }
}

/// Guards against learned speeds that change the choices of a service whose
/// engines don't state how long work takes.
#[test]
fn speeds_are_not_used_while_no_engine_states_how_long_work_takes() {
    for seed in 1..=3 {
        let simulate = |is_learning| {
            let mut simulation = Simulation::new(&uneven_speeds(), seed);
            simulation.is_learning = is_learning;
            simulation.states_work = false;
            simulation.has_slow_downs = true;
            simulation.run(30_000)
        };
        let (blind, learned) = (simulate(false), simulate(true));
        assert!(blind.assignments == learned.assignments, "seed {seed}");
    }
}

/// Guards against news of earlier versions, which are arrays with fewer fields,
/// that can't be read.
#[test]
fn news_of_earlier_versions_is_read() {
    let id = &engines(1)[0].id;
    let news = ("r0", id, Some(1), PromptStep::Read);
    let encoded = rmp_serde::to_vec(&news).expect("encoded news");
    let decoded: PromptProgress = rmp_serde::from_slice(&encoded).expect("news");
    assert_eq!(decoded, progress("r0", id, PromptStep::Read));
}

/// Guards against differences between equal engines that come from noise, and
/// against shared prompts that move between them.
#[test]
fn equal_engines_get_equal_shares() {
    for seed in 1..=3 {
        let simulate = |is_learning| {
            let mut simulation = Simulation::new(&[1.0; 4 * ENGINES], seed);
            simulation.is_learning = is_learning;
            simulation.run(30_000)
        };
        let (blind, learned) = (simulate(false), simulate(true));
        println!("seed {seed}: blind {blind}, learned {learned}");
        assert!(learned.quantile(90) <= 1.05 * blind.quantile(90));
        assert!(20 * learned.read_tokens <= 21 * blind.read_tokens);
    }
}

/// Guards against an engine that is avoided too late after it has slowed down,
/// or for good after it has recovered.
#[test]
fn engine_that_slows_down_is_avoided_until_it_recovers() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(&[1.0; ENGINES], seed);
        simulation.rate_per_engine = 6.0;
        simulation.slow_engine = Some((0, 10_000, 20_000));
        let result = simulation.run(40_000);
        let share = |from: u64, until: u64| result.share_of(0, from, until);
        println!(
            "seed {seed}: before {}, at once {}, slow {}, recovered {}",
            share(2_000, 10_000),
            share(10_000, 12_000),
            share(12_000, 20_000),
            share(22_000, 40_000)
        );
        assert!(share(12_000, 20_000) <= 0.7);
        assert!(share(22_000, 40_000) >= 0.6);
    }
}
