//! Assignment of the prompts of many nodes to engines: under a burst of long
//! prompts, by free slots and by zone.

mod engine_fixture;

use std::{collections::HashMap, sync::Arc};

use self::engine_fixture::{CACHE_CAPACITY, ENGINES, at, engines, progress, query, report};
use fastrand::Rng;
use verbenahub_core::{
    engines::{PromptScheduler, PromptStep, ZoneResults},
    ids::ZoneName,
    policy::health::CallOutcome,
    targets::{TargetCriteria, TargetLoads, TargetRecord},
    units::ByteSize,
};

/// Tokens that an engine prefills in a millisecond.
const PREFILL_RATE: f64 = 112.0;
const NODES: usize = 8;

/// Simulated engine, which prefills prompts one after the other.
#[derive(Clone, Debug, Default)]
struct SimulatedEngine {
    free_at: f64,
    cached: HashMap<String, f64>,
}

/// Results of a simulation.
#[derive(Debug, Default)]
struct SimulationResult {
    /// Time from each request to the end of its prefill, in milliseconds.
    waits: Vec<f64>,
    /// Tokens of the shared parts of all requests.
    shared_tokens: u64,
    /// Shared tokens that were prefilled although another engine had them cached.
    recomputed_tokens: u64,
}

impl SimulationResult {
    fn quantile(&mut self, percent: usize) -> f64 {
        self.waits.sort_by(f64::total_cmp);
        self.waits[self.waits.len() * percent / 100]
    }

    fn mean(&self) -> f64 {
        let count = u32::try_from(self.waits.len()).expect("the count fits");
        self.waits.iter().sum::<f64>() / f64::from(count)
    }
}

/// How engines are chosen in a simulation.
enum Chooser {
    /// By each node on its own, from its own requests.
    Nodes(Vec<TargetLoads>),
    /// By one scheduler for all nodes.
    Scheduler(PromptScheduler),
}

/// Simulates ten seconds of long prompts, with a burst from second 3 to 7.
fn simulate(mut chooser: Chooser, seed: u64) -> SimulationResult {
    let records = engines(ENGINES);
    let mut simulated = vec![SimulatedEngine::default(); ENGINES];
    let mut rng = Rng::with_seed(seed);
    let mut result = SimulationResult::default();
    // Prefills in progress: end time, node, engine, request.
    let mut prefills: Vec<(f64, usize, usize, String)> = Vec::new();
    for millis in 0..10_000_u32 {
        let now = f64::from(millis);
        let clock = at(u64::from(millis));
        prefills.retain(|(time, node, engine, request)| {
            if *time > now {
                return true;
            }
            match &mut chooser {
                Chooser::Nodes(nodes) => {
                    nodes[*node].end(&records[*engine].id, CallOutcome::Answered, clock);
                }
                Chooser::Scheduler(scheduler) => {
                    let read = progress(request, &records[*engine].id, PromptStep::Read);
                    scheduler.record_progress(&read, clock);
                }
            }
            false
        });
        let rate = if (3_000..7_000).contains(&millis) {
            0.08
        } else {
            0.03
        };
        if rng.f64() >= rate {
            continue;
        }
        let prompt = format!("p{}", rng.u32(0..133));
        let request = format!("r{millis}");
        let shared = 6_000 + u64::from(rng.u32(0..14_000));
        // One prompt in eight is many times as long as the others.
        let max_own = if rng.u32(0..8) == 0 { 40_000 } else { 4_000 };
        let own = 500 + u64::from(rng.u32(0..max_own));
        let wanted = query(&request, &prompt, shared, own);
        let node = rng.usize(0..NODES);
        let chosen = match &mut chooser {
            Chooser::Nodes(nodes) => {
                let criteria = TargetCriteria {
                    now: clock,
                    tried: &[],
                    zone: None,
                    affinity: Some(wanted.shared[0].hash),
                    seed: rng.u64(..),
                };
                let record = nodes[node]
                    .choose(&records, &criteria)
                    .expect("a chosen engine");
                nodes[node].begin(&record.id);
                record.id.clone()
            }
            Chooser::Scheduler(scheduler) => scheduler
                .choose(&wanted, &records, clock)
                .expect("a chosen engine"),
        };
        let index = records.iter().position(|record| record.id == chosen);
        let index = index.expect("the engine is a candidate");
        let is_cached_anywhere = simulated
            .iter()
            .any(|engine| engine.cached.contains_key(&prompt));
        let engine = &mut simulated[index];
        let is_cached = engine.cached.contains_key(&prompt);
        let tokens = if is_cached { own } else { own + shared };
        result.shared_tokens += shared;
        if is_cached_anywhere && !is_cached {
            result.recomputed_tokens += shared;
        }
        let tokens = f64::from(u32::try_from(tokens).expect("the length fits"));
        engine.free_at = engine.free_at.max(now) + tokens / PREFILL_RATE;
        engine.cached.insert(prompt, now);
        result.waits.push(engine.free_at - now);
        prefills.push((engine.free_at, node, index, request));
    }
    result
}

fn simulate_nodes(seed: u64) -> SimulationResult {
    let nodes = (0..NODES).map(|_| TargetLoads::default());
    simulate(Chooser::Nodes(nodes.collect()), seed)
}

fn simulate_scheduler(seed: u64) -> SimulationResult {
    simulate(
        Chooser::Scheduler(PromptScheduler::new(CACHE_CAPACITY)),
        seed,
    )
}

#[test]
fn burst_of_long_prompts_is_prefilled_sooner_than_with_independent_nodes() {
    for seed in 1..=5 {
        let (mut nodes, mut scheduler) = (simulate_nodes(seed), simulate_scheduler(seed));
        let (nodes_p90, scheduler_p90) = (nodes.quantile(90), scheduler.quantile(90));
        assert!(
            scheduler_p90 <= 0.8 * nodes_p90,
            "p90 {scheduler_p90} ms, {nodes_p90} ms with independent nodes"
        );
        assert!(scheduler.mean() <= 0.85 * nodes.mean());
        assert!(
            scheduler.recomputed_tokens <= scheduler.shared_tokens / 10,
            "{} tokens recomputed",
            scheduler.recomputed_tokens
        );
    }
}

#[test]
fn prompt_goes_to_the_engine_that_has_it_cached_until_the_wait_there_costs_more() {
    let records = engines(ENGINES);
    let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
    let first = scheduler.choose(&query("r1", "p", 10_000, 100), &records, at(0));
    report(&mut scheduler, "r1", PromptStep::Read, 100);
    for number in 2..6 {
        let request = format!("r{number}");
        let chosen = scheduler.choose(&query(&request, "p", 10_000, 100), &records, at(200));
        assert_eq!(
            chosen, first,
            "a short wait costs less than another prefill"
        );
    }
    // A wait of four times the prefill of the shared part.
    scheduler.choose(&query("large", "p", 10_000, 40_000), &records, at(300));
    let chosen = scheduler.choose(&query("r7", "p", 10_000, 100), &records, at(300));
    assert_ne!(chosen, first);
}

#[test]
fn empty_scheduler_chooses_the_same_engine_as_a_node_on_its_own() {
    let records = engines(ENGINES);
    for number in 0..50 {
        let wanted = query("r1", &format!("p{number}"), 10_000, 100);
        let criteria = TargetCriteria {
            now: at(0),
            tried: &[],
            zone: None,
            affinity: Some(wanted.shared[0].hash),
            seed: number,
        };
        let chosen_by_node = TargetLoads::default().choose(&records, &criteria);
        let chosen = PromptScheduler::new(CACHE_CAPACITY).choose(&wanted, &records, at(0));
        assert_eq!(chosen, chosen_by_node.map(|record| record.id.clone()));
    }
}

#[test]
fn engine_without_free_slots_gets_no_request_while_others_have_some() {
    let slots = 16;
    let records: Vec<_> = engines(3)
        .iter()
        .map(|record| {
            let record = TargetRecord {
                slots,
                ..TargetRecord::clone(record)
            };
            Arc::new(record)
        })
        .collect();
    let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
    let mut assign = |number: u32, now: u64| {
        let request = format!("r{number}");
        let chosen = scheduler.choose(&query(&request, "p", 10_000, 100), &records, at(now));
        report(&mut scheduler, &request, PromptStep::Read, now);
        (chosen.expect("a chosen engine"), request)
    };
    // Streams that have begun and continue keep their slots.
    let (full, first) = assign(0, 0);
    for number in 1..slots {
        assert_eq!(assign(number, 10).0, full);
    }
    let (other, _) = assign(slots, 20);
    assert_ne!(other, full);
    for number in 1..2 * slots {
        assign(100 + number, 30);
    }
    report(&mut scheduler, &first, PromptStep::Ended, 40);
    let chosen = scheduler.choose(&query("last", "p", 10_000, 100), &records, at(40));
    assert_eq!(chosen, Some(full), "a slot is free again");
}

#[test]
fn results_attract_a_prompt_to_their_zone_by_the_cost_of_their_transfer() {
    let records = engines(ENGINES);
    let mut rng = Rng::with_seed(7);
    // Requests that share short prompts and whose results are in random zones:
    // 60 kB of results each, then 6 MB.
    let mut assign_requests = |kilobytes: u64| {
        let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
        let (mut tokens, mut remote) = (0, 0);
        for number in 0..1_000 {
            let request = format!("r{number}");
            let mut wanted = query(&request, &format!("p{}", rng.u32(0..40)), 350, 0);
            let zone = ZoneName::new(&format!("z{}", rng.u32(0..4))).expect("a valid zone name");
            wanted.results.push(ZoneResults {
                zone: zone.clone(),
                size: ByteSize::from_bytes(kilobytes * 1_000),
            });
            let now = number * 20;
            let chosen = scheduler
                .choose(&wanted, &records, at(now))
                .expect("a chosen engine");
            tokens += scheduler.pending_tokens(&chosen).get();
            let record = records.iter().find(|record| record.id == chosen);
            remote += u32::from(record.expect("the engine is a candidate").zone != zone);
            report(&mut scheduler, &request, PromptStep::Read, now);
            report(&mut scheduler, &request, PromptStep::Ended, now);
        }
        (tokens, remote)
    };
    let (tokens, _) = assign_requests(60);
    assert_eq!(tokens, 40 * 350, "each prompt is prefilled once");
    let (tokens, remote) = assign_requests(6_000);
    assert_eq!(remote, 0);
    assert!(
        tokens <= 4 * 40 * 350,
        "each prompt is prefilled once in each zone: {tokens}"
    );
}
