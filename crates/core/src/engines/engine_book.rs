use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use super::{EngineAsk, PromptEnd, engine_memory::EngineMemory};
use crate::{
    clock::{ClockTime, TimeSpan},
    cluster::rendezvous,
    ids::TargetId,
    policy::health::{CallOutcome, HealthRule, TargetHealth},
    targets::TargetRecord,
    units::TokenCount,
};

/// Time after which a prompt counts as read if no word of it has come. Callers
/// leave streams that have not begun by then.
const LONGEST_WAIT: TimeSpan = TimeSpan::from_secs(6);
/// How much reading shared parts again counts beside the time of the request
/// itself: it also delays what comes to the engine after it.
const REREAD_WEIGHT: u64 = 2;
/// Tokens that count as much as reading results in another zone.
const AWAY_TOKENS: u64 = 2_000;
/// When engines are left out. All nodes' requests count here, so that two
/// failures in a row are enough.
const HEALTH_RULE: HealthRule = HealthRule {
    failure_limit: 2,
    slow_factor: 3.0,
    slow_samples: 10,
    first_ejection: TimeSpan::from_millis(700),
    longest_ejection: TimeSpan::from_millis(3_000),
    ejected_share: 0.5,
    slow_start: TimeSpan::from_millis(1_000),
};

/// One engine of a book.
#[derive(Debug, Default)]
struct EngineState {
    /// Its run, if it tells.
    started_at: Option<u64>,
    memory: EngineMemory,
    /// Tokens of prompts that it has to read.
    pending: u64,
    health: TargetHealth,
}

/// A prompt that an engine was chosen for and has not read yet.
#[derive(Clone, Debug)]
struct PendingPrompt {
    engine: TargetId,
    tokens: u64,
    since: ClockTime,
}

/// Chooses engines for the prompts of all nodes.
///
/// Answers to this load pattern: prompts are long and differ much in length, an
/// engine reads them one after the other, and many nodes that know nothing of
/// each other's requests let some engines queue while others are idle. In a
/// burst that wait is longer than all else, and the results that those
/// requests read take room all the while. One node that keeps book of what
/// each engine has to read, and of what it holds already, sends each prompt
/// where it is read soonest, and seldom to a second engine.
#[derive(Debug)]
pub struct EngineBook {
    memory: TokenCount,
    engines: BTreeMap<TargetId, EngineState>,
    pending: HashMap<String, PendingPrompt>,
    oldest: VecDeque<(ClockTime, String)>,
}

impl EngineBook {
    /// Creates an empty book for engines with some memory.
    #[must_use]
    pub fn new(memory: TokenCount) -> Self {
        Self {
            memory,
            engines: BTreeMap::new(),
            pending: HashMap::new(),
            oldest: VecDeque::new(),
        }
    }

    /// Takes in a changed size of the engines' memory.
    pub const fn set_memory(&mut self, memory: TokenCount) {
        self.memory = memory;
    }

    /// Chooses the engine that reads a prompt, and counts it as pending there
    /// until [`Self::end`]. Returns nothing if no engine may get it.
    pub fn choose(
        &mut self,
        ask: &EngineAsk,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TargetId> {
        self.take_in(candidates);
        self.expire(now);
        self.drop_pending(&ask.request);
        let chosen = self.best(ask, candidates, now)?;
        let state = self.engines.get_mut(&chosen)?;
        let tokens = state.memory.read(&ask.shared, ask.own, self.memory).get();
        state.pending += tokens;
        self.oldest.push_back((now, ask.request.clone()));
        self.pending.insert(
            ask.request.clone(),
            PendingPrompt {
                engine: chosen.clone(),
                tokens,
                since: now,
            },
        );
        Some(chosen)
    }

    /// Takes note of how an engine's work on a prompt has ended.
    pub fn end(&mut self, request: &str, end: PromptEnd, now: ClockTime) {
        let Some(engine) = self.drop_pending(request) else {
            return;
        };
        let Some(state) = self.engines.get(&engine) else {
            return;
        };
        let outcome = match end {
            PromptEnd::Read => CallOutcome::Answered,
            PromptEnd::Failed => CallOutcome::Failed,
            PromptEnd::Dropped => return,
        };
        if state.health.observe(outcome, &HEALTH_RULE) {
            state.health.eject(&HEALTH_RULE, now);
        }
    }

    /// Tokens that an engine has to read.
    #[must_use]
    pub fn pending(&self, engine: &TargetId) -> TokenCount {
        let state = self.engines.get(engine);
        TokenCount::new(state.map_or(0, |state| state.pending))
    }

    fn best(
        &self,
        ask: &EngineAsk,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TargetId> {
        let allowed = candidates.iter();
        let allowed: Vec<_> = allowed
            .filter(|record| !ask.avoid.contains(&record.id))
            .collect();
        let is_ejected = |record: &&Arc<TargetRecord>| {
            let state = self.engines.get(&record.id);
            state.is_some_and(|state| state.health.is_ejected(now))
        };
        let (ejected, healthy): (Vec<_>, Vec<_>) = allowed.iter().copied().partition(is_ejected);
        let is_sparing = ejected.len() <= HEALTH_RULE.ejected_limit(allowed.len());
        let pool = if is_sparing && !healthy.is_empty() {
            healthy
        } else {
            allowed
        };
        let missing: Vec<u64> = pool
            .iter()
            .map(|record| {
                self.engines[&record.id]
                    .memory
                    .missing(&ask.shared, self.memory)
            })
            .collect();
        let last_part = ask.shared.last();
        let key = last_part.map_or_else(|| rendezvous::text_hash(&ask.request), |part| part.hash);
        let ranks: Vec<u64> = pool
            .iter()
            .map(|record| {
                let hash = rendezvous::text_hash(record.id.as_str());
                rendezvous::score(key, hash)
            })
            .collect();
        // A prompt that nobody holds belongs where hashing puts it: there it was
        // read if another node kept the book until now, and its beginning, which
        // all prompts may share, must not draw them all to one engine.
        let is_unknown = missing.iter().all(|missing| *missing > 0);
        let first = ranks.iter().copied().max()?;
        let costs = pool.iter().zip(missing.iter().zip(&ranks));
        let best = costs.min_by_key(|(record, (missing, rank))| {
            let is_away = ask.zone.as_ref().is_some_and(|zone| *zone != record.zone);
            let away = if is_away { AWAY_TOKENS } else { 0 };
            let is_first = is_unknown && **rank == first;
            let again = if is_first { 0 } else { **missing };
            let pending = self.engines[&record.id].pending;
            let cost = pending + **missing + again * REREAD_WEIGHT + away;
            // Engines that look alike are taken in one order for a prompt.
            (cost, !**rank)
        })?;
        Some(best.0.id.clone())
    }

    /// Takes in which engines there are. One that has started again holds
    /// nothing.
    fn take_in(&mut self, candidates: &[Arc<TargetRecord>]) {
        let is_known = candidates.iter().all(|record| {
            let state = self.engines.get(&record.id);
            state.is_some_and(|state| state.started_at == record.started_at)
        });
        if is_known && self.engines.len() == candidates.len() {
            return;
        }
        let mut former = std::mem::take(&mut self.engines);
        for record in candidates {
            let state = former.remove(&record.id);
            let state = state.filter(|state| state.started_at == record.started_at);
            let state = state.unwrap_or_else(|| EngineState {
                started_at: record.started_at,
                ..EngineState::default()
            });
            self.engines.insert(record.id.clone(), state);
        }
        let engines = &self.engines;
        self.pending
            .retain(|_, prompt| engines.contains_key(&prompt.engine));
    }

    fn expire(&mut self, now: ClockTime) {
        while let Some((since, request)) = self
            .oldest
            .pop_front_if(|(since, _)| now.since(*since) > LONGEST_WAIT)
        {
            let is_same = |prompt: &PendingPrompt| prompt.since == since;
            if self.pending.get(&request).is_some_and(is_same) {
                self.drop_pending(&request);
            }
        }
    }

    fn drop_pending(&mut self, request: &str) -> Option<TargetId> {
        let prompt = self.pending.remove(request)?;
        if let Some(state) = self.engines.get_mut(&prompt.engine) {
            state.pending = state.pending.saturating_sub(prompt.tokens);
        }
        Some(prompt.engine)
    }
}
