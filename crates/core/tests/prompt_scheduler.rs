//! The choice of engines for the prompts of many nodes, under a burst of long
//! prompts, by slots and by zones.

mod engine_fixture;

use std::{collections::HashMap, sync::Arc};

use self::engine_fixture::{ENGINES, MEMORY, ask, at, engines, news, tell};
use fastrand::Rng;
use verbenahub_core::{
    engines::{PromptScheduler, PromptStep, ZoneResults},
    ids::ZoneName,
    policy::health::CallOutcome,
    targets::{TargetCriteria, TargetLoads, TargetRecord},
    units::ByteSize,
};

/// Tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 112.0;
const NODES: usize = 8;

/// What one engine of the model does: reads prompts one after the other.
#[derive(Clone, Debug, Default)]
struct ModelEngine {
    free_at: f64,
    held: HashMap<String, f64>,
}

/// What a replayed load came to.
#[derive(Debug, Default)]
struct ReplayEnd {
    waits: Vec<f64>,
    asked: u64,
    read_again: u64,
}

impl ReplayEnd {
    fn quantile(&mut self, percent: usize) -> f64 {
        self.waits.sort_by(f64::total_cmp);
        self.waits[self.waits.len() * percent / 100]
    }

    fn mean(&self) -> f64 {
        let count = u32::try_from(self.waits.len()).expect("a count");
        self.waits.iter().sum::<f64>() / f64::from(count)
    }
}

/// Who chooses in a replay.
enum Chooser {
    /// Each node by itself, from its own requests.
    Nodes(Vec<TargetLoads>),
    /// One book for all.
    Book(PromptScheduler),
}

/// Plays ten seconds of long prompts, with a burst in the middle.
fn replay(mut chooser: Chooser, seed: u64) -> ReplayEnd {
    let records = engines(ENGINES);
    let mut models = vec![ModelEngine::default(); ENGINES];
    let mut rng = Rng::with_seed(seed);
    let mut end = ReplayEnd::default();
    // First events to come: time, node, engine, request.
    let mut coming: Vec<(f64, usize, usize, String)> = Vec::new();
    for millis in 0..10_000_u32 {
        let now = f64::from(millis);
        let clock = at(u64::from(millis));
        coming.retain(|(time, node, engine, request)| {
            if *time > now {
                return true;
            }
            match &mut chooser {
                Chooser::Nodes(nodes) => {
                    nodes[*node].end(&records[*engine].id, CallOutcome::Answered, clock);
                }
                Chooser::Book(book) => {
                    let read = news(request, &records[*engine].id, PromptStep::Read);
                    book.record_progress(&read, clock);
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
        // One in eight is many times as long as the others.
        let most = if rng.u32(0..8) == 0 { 40_000 } else { 4_000 };
        let own = 500 + u64::from(rng.u32(0..most));
        let wanted = ask(&request, &prompt, shared, own);
        let node = rng.usize(0..NODES);
        let chosen = match &mut chooser {
            Chooser::Nodes(nodes) => {
                let ask = TargetCriteria {
                    now: clock,
                    tried: &[],
                    zone: None,
                    affinity: Some(wanted.shared[0].hash),
                    seed: rng.u64(..),
                };
                let record = nodes[node].choose(&records, &ask).expect("an engine");
                nodes[node].begin(&record.id);
                record.id.clone()
            }
            Chooser::Book(book) => book.choose(&wanted, &records, clock).expect("an engine"),
        };
        let place = records.iter().position(|record| record.id == chosen);
        let place = place.expect("one of them");
        let is_known = models.iter().any(|model| model.held.contains_key(&prompt));
        let model = &mut models[place];
        let is_held = model.held.contains_key(&prompt);
        let tokens = if is_held { own } else { own + shared };
        end.asked += shared;
        if is_known && !is_held {
            end.read_again += shared;
        }
        let tokens = f64::from(u32::try_from(tokens).expect("a size"));
        model.free_at = model.free_at.max(now) + tokens / READ_RATE;
        model.held.insert(prompt, now);
        end.waits.push(model.free_at - now);
        coming.push((model.free_at, node, place, request));
    }
    end
}

fn by_nodes(seed: u64) -> ReplayEnd {
    let nodes = (0..NODES).map(|_| TargetLoads::default());
    replay(Chooser::Nodes(nodes.collect()), seed)
}

fn by_book(seed: u64) -> ReplayEnd {
    replay(Chooser::Book(PromptScheduler::new(MEMORY)), seed)
}

#[test]
fn burst_of_long_prompts_is_read_sooner_than_by_nodes_on_their_own() {
    for seed in 1..=5 {
        let (mut nodes, mut book) = (by_nodes(seed), by_book(seed));
        let (before, after) = (nodes.quantile(90), book.quantile(90));
        assert!(after <= 0.8 * before, "p90 {before} to {after} ms");
        assert!(book.mean() <= 0.85 * nodes.mean());
        assert!(book.read_again <= book.asked / 10, "{}", book.read_again);
    }
}

#[test]
fn prompt_stays_where_it_is_held_until_the_wait_there_costs_more() {
    let records = engines(ENGINES);
    let mut book = PromptScheduler::new(MEMORY);
    let first = book.choose(&ask("r1", "p", 10_000, 100), &records, at(0));
    tell(&mut book, "r1", PromptStep::Read, 100);
    for number in 2..6 {
        let request = format!("r{number}");
        let chosen = book.choose(&ask(&request, "p", 10_000, 100), &records, at(200));
        assert_eq!(chosen, first, "a short wait is better than reading again");
    }
    // A wait of four times the shared part.
    book.choose(&ask("large", "p", 10_000, 40_000), &records, at(300));
    let chosen = book.choose(&ask("r7", "p", 10_000, 100), &records, at(300));
    assert_ne!(chosen, first);
}

#[test]
fn book_that_knows_nothing_puts_a_prompt_where_each_node_would() {
    let records = engines(ENGINES);
    for number in 0..50 {
        let wanted = ask("r1", &format!("p{number}"), 10_000, 100);
        let alone = TargetCriteria {
            now: at(0),
            tried: &[],
            zone: None,
            affinity: Some(wanted.shared[0].hash),
            seed: number,
        };
        let alone = TargetLoads::default().choose(&records, &alone);
        let chosen = PromptScheduler::new(MEMORY).choose(&wanted, &records, at(0));
        assert_eq!(chosen, alone.map(|record| record.id.clone()));
    }
}

#[test]
fn engine_whose_slots_are_taken_gets_no_more_while_others_have_some() {
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
    let mut book = PromptScheduler::new(MEMORY);
    let mut place = |number: u32, now: u64| {
        let request = format!("r{number}");
        let chosen = book.choose(&ask(&request, "p", 10_000, 100), &records, at(now));
        tell(&mut book, &request, PromptStep::Read, now);
        (chosen.expect("an engine"), request)
    };
    // Streams that have begun and last hold their slots.
    let (holder, first) = place(0, 0);
    for number in 1..slots {
        assert_eq!(place(number, 10).0, holder);
    }
    let (other, _) = place(slots, 20);
    assert_ne!(other, holder);
    for number in 1..2 * slots {
        place(100 + number, 30);
    }
    tell(&mut book, &first, PromptStep::Ended, 40);
    let chosen = book.choose(&ask("last", "p", 10_000, 100), &records, at(40));
    assert_eq!(chosen, Some(holder), "a slot is free again");
}

#[test]
fn results_draw_a_prompt_to_their_zone_by_what_their_way_costs() {
    let records = engines(ENGINES);
    let mut rng = Rng::with_seed(7);
    // Short prompts that many share, read by requests whose results lie in any
    // zone: of 60 kB, then of 6 MB.
    let mut readings = |kilobytes: u64| {
        let mut book = PromptScheduler::new(MEMORY);
        let (mut tokens, mut away) = (0, 0);
        for number in 0..1_000 {
            let request = format!("r{number}");
            let mut wanted = ask(&request, &format!("p{}", rng.u32(0..40)), 350, 0);
            let zone = ZoneName::new(&format!("z{}", rng.u32(0..4))).expect("a name");
            wanted.results.push(ZoneResults {
                zone: zone.clone(),
                size: ByteSize::from_bytes(kilobytes * 1_000),
            });
            let now = number * 20;
            let chosen = book.choose(&wanted, &records, at(now)).expect("one");
            tokens += book.pending_tokens(&chosen).get();
            let record = records.iter().find(|record| record.id == chosen);
            away += u32::from(record.expect("one of them").zone != zone);
            tell(&mut book, &request, PromptStep::Read, now);
            tell(&mut book, &request, PromptStep::Ended, now);
        }
        (tokens, away)
    };
    let (tokens, _) = readings(60);
    assert_eq!(tokens, 40 * 350, "each is read once");
    let (tokens, away) = readings(6_000);
    assert_eq!(away, 0);
    assert!(tokens <= 4 * 40 * 350, "read once in each zone: {tokens}");
}
