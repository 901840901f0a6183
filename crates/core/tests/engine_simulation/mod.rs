//! Simulated engines that read prompts in chunks between the decode steps of
//! their streams, with one scheduler that chooses engines for all requests.

#![allow(dead_code)] // Each test file uses only some of these items.

use std::{
    collections::{HashSet, VecDeque},
    fmt,
    sync::Arc,
};

use fastrand::Rng;
use verbenahub_core::{
    clock::TimeSpan,
    engines::{PromptScheduler, PromptStep},
    targets::TargetRecord,
};

use crate::engine_fixture::{CACHE_CAPACITY, at, engines, progress, query};

/// Tokens that an engine reads between two decode steps.
const CHUNK_TOKENS: u64 = 2_048;
/// Tokens that an engine of speed 1 reads in a millisecond.
const TOKENS_PER_MILLI: f64 = 51.0;
/// Duration of a decode step at speed 1.
const STEP_MILLIS: f64 = 6.0;
/// Decode steps for one event of a stream.
const STEPS_PER_EVENT: u32 = 4;
/// Events of a stream.
const EVENTS: u32 = 30;
/// Pause between two events of a stream that makes it late.
const GAP_LIMIT_MILLIS: f64 = 300.0;
/// Time from an event to the arrival of its news at the chooser.
const NEWS_MILLIS: f64 = 5.0;
/// Way from a node to an engine and back.
const WAY_MILLIS: f64 = 2.0;
/// Number of slots of an engine. A request above them waits for the end of a stream.
const SLOTS: u32 = 12;
const SLOT_COUNT: usize = SLOTS as usize;
/// Largest deviation of a chunk's or step's duration, as a share of it.
const NOISE: f64 = 0.2;
/// Slow-downs: factor, duration, and interval in which each engine has one. An
/// engine is slow for 15 of 100 seconds.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MILLIS: u64 = 600;
const SLOW_INTERVAL_MILLIS: u64 = 4_000;
/// Number of different shared prompts, and length of each.
const PROMPTS: u64 = 600;
const SHARED_TOKENS: u64 = 6_000;
/// Load in bursts, and mean of all load, relative to that outside of bursts.
const BURST: f64 = 1.6;
const MEAN_BURST: f64 = 1.12;

/// How the rate of requests changes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LoadPattern {
    /// Waves, with bursts in between.
    Bursts,
    /// The same rate all the time.
    Steady,
}

/// A replay of a load on engines.
pub struct Simulation {
    /// Whether the scheduler learns the speed of engines.
    pub is_learning: bool,
    /// Whether engines state how long work takes on their VMs.
    pub states_work: bool,
    /// Whether engines become slower for a while at random times.
    pub has_slow_downs: bool,
    /// Requests a second for each engine.
    pub rate_per_engine: f64,
    pub pattern: LoadPattern,
    /// An engine that is slower from one time to another.
    pub slow_engine: Option<(usize, u64, u64)>,
    records: Vec<Arc<TargetRecord>>,
    engines: Vec<SimulatedEngine>,
    /// Source of the requests, the same however engines are chosen.
    arrivals: Rng,
    rng: Rng,
}

/// Results of a simulation.
#[derive(Default)]
pub struct SimulationResult {
    /// Time from sending each request to its first event, in milliseconds.
    first_events: Vec<f64>,
    /// Requests assigned to each engine.
    pub assigned: Vec<usize>,
    /// Time of each assignment, with the engine.
    pub assignments: Vec<(u64, usize)>,
    /// Streams with a pause above the limit.
    pub late_streams: usize,
    /// Tokens that were read.
    pub read_tokens: u64,
}

#[derive(Default)]
struct SimulatedEngine {
    speed: f64,
    slow_until: u64,
    /// When the current chunk or step ends.
    free_at: f64,
    prompts: VecDeque<SentPrompt>,
    streams: Vec<Stream>,
    cached: HashSet<String>,
    /// Whether the streams advance before the next chunk is read.
    decodes_next: bool,
}

#[derive(Clone)]
struct SentPrompt {
    request: String,
    prompt: String,
    own: u64,
    sent_at: f64,
    /// Tokens still to read, once the engine has begun.
    left: Option<u64>,
}

struct Stream {
    request: String,
    steps: u32,
    event_at: f64,
    is_late: bool,
}

/// News on its way to the chooser.
struct News {
    arrives_at: f64,
    request: String,
    engine: usize,
    step: PromptStep,
    first_event_after: f64,
}

impl SimulationResult {
    pub fn quantile(&self, percent: usize) -> f64 {
        let mut sorted = self.first_events.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() * percent / 100]
    }

    /// Longest time in milliseconds, from `from` to `until`, in which an engine gets
    /// no request.
    pub fn longest_idle(&self, engine: usize, from: u64, until: u64) -> u64 {
        let own = self.assignments.iter();
        let own = own.filter(|(time, other)| *other == engine && (from..until).contains(time));
        let ends = own.map(|(time, _)| *time).chain([until]);
        let mut previous = from;
        let gaps = ends.map(|time| time - std::mem::replace(&mut previous, time));
        gaps.max().unwrap_or_default()
    }

    /// An engine's share of the requests of a period, relative to an equal share.
    pub fn share_of(&self, engine: usize, from: u64, until: u64) -> f64 {
        let all = self.assignments.iter();
        let all: Vec<_> = all
            .filter(|(time, _)| (from..until).contains(time))
            .collect();
        let own = all.iter().filter(|(_, other)| *other == engine).count();
        ratio(own * self.assigned.len(), all.len())
    }
}

impl fmt::Display for SimulationResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} requests, first event p50 {:.0} ms, p90 {:.0} ms, p99 {:.0} ms, late streams {}, \
             {} thousand tokens read",
            self.first_events.len(),
            self.quantile(50),
            self.quantile(90),
            self.quantile(99),
            self.late_streams,
            self.read_tokens / 1_000
        )
    }
}

impl Simulation {
    pub fn new(speeds: &[f64], seed: u64) -> Self {
        let records = engines(speeds.len()).into_iter().map(|record| {
            Arc::new(TargetRecord {
                slots: SLOTS,
                ..TargetRecord::clone(&record)
            })
        });
        let engine = |speed: &f64| SimulatedEngine {
            speed: *speed,
            ..SimulatedEngine::default()
        };
        Self {
            is_learning: true,
            states_work: true,
            has_slow_downs: false,
            rate_per_engine: 2.7,
            pattern: LoadPattern::Bursts,
            slow_engine: None,
            records: records.collect(),
            engines: speeds.iter().map(engine).collect(),
            arrivals: Rng::with_seed(seed),
            rng: Rng::with_seed(seed + 1_000),
        }
    }

    /// Replays `millis` milliseconds of load.
    pub fn run(mut self, millis: u64) -> SimulationResult {
        let mut scheduler = PromptScheduler::new(CACHE_CAPACITY);
        let count = self.engines.len();
        let mut result = SimulationResult {
            assigned: vec![0; count],
            ..SimulationResult::default()
        };
        let mut news: Vec<News> = Vec::new();
        // Requests that wait until another one's shared prompt has been read.
        let mut waiting: Vec<(String, usize, SentPrompt)> = Vec::new();
        for now in 0..millis {
            let (clock, time) = (at(now), float(now));
            news.retain(|item| {
                if item.arrives_at > time {
                    return true;
                }
                let engine = &self.records[item.engine].id;
                let mut report = progress(&item.request, engine, item.step);
                if self.is_learning && item.step == PromptStep::Read {
                    let after = TimeSpan::from_millis(whole(item.first_event_after));
                    report.first_event_after = Some(after);
                    report.work_percent = self.states_work.then_some(100);
                }
                scheduler.record_progress(&report, clock);
                false
            });
            waiting.retain(|(awaited, engine, prompt)| {
                let is_waiting = scheduler.is_prefill_pending(awaited);
                if !is_waiting {
                    self.engines[*engine].send(prompt.clone(), time);
                }
                is_waiting
            });
            if self.arrivals.f64() < self.request_rate(now) {
                let request = format!("r{now}");
                // A few prompts are much more common than others.
                let rank = whole(self.arrivals.f64().powi(2) * float(PROMPTS));
                let prompt = format!("p{rank}");
                let own = 2_000 + self.arrivals.u64(0..2_000);
                let wanted = query(&request, &prompt, SHARED_TOKENS, own);
                let chosen = scheduler.choose(&wanted, &self.records, clock);
                let chosen = chosen.expect("an engine");
                let mut records = self.records.iter();
                let engine = records.position(|record| record.id == chosen);
                let engine = engine.expect("the engine is a candidate");
                result.assigned[engine] += 1;
                result.assignments.push((now, engine));
                let awaited = scheduler.awaited_request(&request).map(str::to_owned);
                let sent = SentPrompt {
                    request,
                    prompt,
                    own,
                    sent_at: time,
                    left: None,
                };
                match awaited {
                    Some(awaited) => waiting.push((awaited, engine, sent)),
                    None => self.engines[engine].send(sent, time),
                }
            }
            for (number, engine) in self.engines.iter_mut().enumerate() {
                if self.has_slow_downs && self.rng.u64(0..SLOW_INTERVAL_MILLIS) == 0 {
                    engine.slow_until = now + SLOW_MILLIS;
                }
                let slow = self.slow_engine;
                if slow.is_some_and(|(slow, from, until)| {
                    slow == number && (from..until).contains(&now)
                }) {
                    engine.slow_until = now + 1;
                }
                while engine.free_at <= time && engine.is_busy() {
                    engine.advance(number, now, &mut self.rng, &mut news, &mut result);
                }
            }
        }
        result
    }

    /// Probability of a request in a millisecond: waves, with bursts in
    /// between.
    fn request_rate(&self, now: u64) -> f64 {
        let mean = self.rate_per_engine * ratio(self.engines.len(), 1_000);
        if self.pattern == LoadPattern::Steady {
            return mean;
        }
        let wave = 1.0 + 0.5 * (float(now) / 8_000.0).sin();
        let burst = if now % 20_000 > 16_000 { BURST } else { 1.0 };
        mean * wave * burst / MEAN_BURST
    }
}

impl SimulatedEngine {
    fn send(&mut self, mut prompt: SentPrompt, now: f64) {
        prompt.sent_at = now;
        if !self.is_busy() {
            self.free_at = self.free_at.max(now + WAY_MILLIS);
        }
        self.prompts.push_back(prompt);
    }

    fn is_busy(&self) -> bool {
        !self.prompts.is_empty() || !self.streams.is_empty()
    }

    /// Reads a chunk of the prompts, or advances the streams by a step.
    fn advance(
        &mut self,
        number: usize,
        now: u64,
        rng: &mut Rng,
        news: &mut Vec<News>,
        result: &mut SimulationResult,
    ) {
        let slowness = if now < self.slow_until {
            SLOW_FACTOR
        } else {
            1.0
        };
        let noise = 1.0 + NOISE * (2.0 * rng.f64() - 1.0);
        let pace = slowness * noise / self.speed;
        let cannot_read = self.prompts.is_empty() || self.streams.len() >= SLOT_COUNT;
        if cannot_read || (self.decodes_next && !self.streams.is_empty()) {
            self.decodes_next = false;
            self.free_at += STEP_MILLIS * pace;
            self.advance_streams(number, news, result);
            return;
        }
        self.decodes_next = true;
        let mut room = CHUNK_TOKENS;
        let mut begun = Vec::new();
        while room > 0
            && self.streams.len() + begun.len() < SLOT_COUNT
            && let Some(prompt) = self.prompts.front_mut()
        {
            let is_cached = self.cached.contains(&prompt.prompt);
            let shared = if is_cached { 0 } else { SHARED_TOKENS };
            let left = prompt.left.get_or_insert(prompt.own + shared);
            let read = room.min(*left);
            *left -= read;
            room -= read;
            if *left == 0 {
                let prompt = self.prompts.pop_front().expect("a prompt");
                self.cached.insert(prompt.prompt.clone());
                begun.push(prompt);
            }
        }
        let read = CHUNK_TOKENS - room;
        result.read_tokens += read;
        self.free_at += float(read) / TOKENS_PER_MILLI * pace;
        for prompt in begun {
            let event_at = self.free_at + STEP_MILLIS * pace;
            result.first_events.push(event_at - prompt.sent_at);
            news.push(News {
                arrives_at: event_at + NEWS_MILLIS,
                request: prompt.request.clone(),
                engine: number,
                step: PromptStep::Read,
                first_event_after: event_at - prompt.sent_at,
            });
            self.streams.push(Stream {
                request: prompt.request,
                steps: 0,
                event_at,
                is_late: false,
            });
        }
    }

    fn advance_streams(
        &mut self,
        number: usize,
        news: &mut Vec<News>,
        result: &mut SimulationResult,
    ) {
        let now = self.free_at;
        self.streams.retain_mut(|stream| {
            stream.steps += 1;
            if stream.steps % STEPS_PER_EVENT != 0 {
                return true;
            }
            stream.is_late |= now - stream.event_at > GAP_LIMIT_MILLIS;
            stream.event_at = now;
            let is_over = stream.steps == EVENTS * STEPS_PER_EVENT;
            if is_over {
                result.late_streams += usize::from(stream.is_late);
                news.push(News {
                    arrives_at: now + NEWS_MILLIS,
                    request: stream.request.clone(),
                    engine: number,
                    step: PromptStep::Ended,
                    first_event_after: 0.0,
                });
            }
            !is_over
        });
    }
}

// Numbers of milliseconds, tokens and requests in a simulation are small.
#[allow(clippy::cast_precision_loss)]
fn float(number: u64) -> f64 {
    number as f64
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> u64 {
    number.round() as u64
}
