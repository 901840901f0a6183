use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    EngineQuery, PromptProgress, PromptStep,
    engine_state::{EngineState, HEALTH_RULE},
    placed_request::PlacedRequest,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    cluster::rendezvous,
    ids::TargetId,
    targets::TargetRecord,
    units::TokenCount,
};

/// Time after which a request is forgotten if nothing was told of it. Callers
/// leave streams that have not begun by then.
const LONGEST_WAIT: TimeSpan = TimeSpan::from_secs(6);
/// Time after which a stream is forgotten whose end was not told. The longest
/// deadlines of callers.
const LONGEST_STREAM: TimeSpan = TimeSpan::from_secs(15);
/// How much reading shared parts again counts beside the time of the request
/// itself: it also delays what comes to the engine after it.
const REREAD_WEIGHT: u64 = 2;
/// Bytes of results whose way from another zone takes as long as an engine takes
/// to read a token: some 8 microseconds at a gigabit a second.
const AWAY_BYTES: u64 = 1_000;
/// Tokens of shared parts whose reading by another request is waited for. Less
/// is read before the news of it comes.
const LEAST_AWAITED: TokenCount = TokenCount::new(1_000);
/// Chooses engines for the prompts of all nodes.
///
/// Answers to this load pattern: prompts are long and differ much in length, an
/// engine reads them one after the other, and many nodes that know nothing of
/// each other's requests let some engines queue while others are idle. In a
/// burst that wait is longer than all else, and the results that those
/// requests read take room all the while. One node that keeps book of what
/// each engine has to read, and of what it holds already, sends each prompt
/// where it is read soonest, and seldom to a second engine. An engine whose
/// slots are taken lets requests wait for the end of a stream, so it gets no
/// more while others have slots. Requests that share parts which an engine is
/// just reading are sent there when it has read them.
#[derive(Debug)]
pub struct PromptScheduler {
    memory: TokenCount,
    engines: BTreeMap<TargetId, EngineState>,
    requests: HashMap<String, PlacedRequest>,
    /// Requests in the order in which they are forgotten.
    forgotten: BTreeSet<(ClockTime, String)>,
}

impl PromptScheduler {
    /// Creates an empty book for engines with some memory.
    #[must_use]
    pub fn new(memory: TokenCount) -> Self {
        Self {
            memory,
            engines: BTreeMap::new(),
            requests: HashMap::new(),
            forgotten: BTreeSet::new(),
        }
    }

    /// Takes in a changed size of the engines' memory.
    pub const fn set_cache_capacity(&mut self, memory: TokenCount) {
        self.memory = memory;
    }

    /// Chooses the engine for a request, and counts it there until
    /// [`Self::record_progress`] tells its end. Returns nothing if no engine may get it.
    pub fn choose(
        &mut self,
        ask: &EngineQuery,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TargetId> {
        self.take_in(candidates);
        self.forget(now);
        self.remove(&ask.request);
        let chosen = self.best(ask, candidates, now)?;
        let state = self.engines.get_mut(&chosen)?;
        let awaited = state.memory.reader(&ask.shared);
        let awaited = awaited.filter(|(_, tokens)| *tokens >= LEAST_AWAITED);
        let reader = awaited.map(|(reader, _)| reader.to_owned());
        let memory = &mut state.memory;
        let tokens = memory.read(&ask.request, &ask.shared, ask.own, self.memory);
        let tokens = tokens.get();
        let forgotten_at = now + LONGEST_WAIT;
        state.begin(&ask.request, tokens, forgotten_at);
        self.forgotten.insert((forgotten_at, ask.request.clone()));
        self.requests.insert(
            ask.request.clone(),
            PlacedRequest {
                engine: chosen.clone(),
                started_at: state.started_at,
                tokens,
                is_reading: true,
                reader,
                forgotten_at,
            },
        );
        Some(chosen)
    }

    /// Takes note of how far an engine has come with a request.
    pub fn record_progress(&mut self, news: &PromptProgress, now: ClockTime) {
        let placed = self.requests.get(&news.request);
        if placed.is_some_and(|placed| placed.engine == news.engine) {
            if news.step == PromptStep::Read {
                self.note_read(&news.request, now);
            } else {
                self.remove(&news.request);
            }
        }
        let state = self.engines.get_mut(&news.engine);
        if let Some(state) = state.filter(|state| state.started_at == news.started_at) {
            state.note(&news.request, news.step, now);
        }
    }

    /// The engine that a request was given, until its end is known.
    #[must_use]
    pub fn engine_of(&self, request: &str) -> Option<&TargetId> {
        self.requests.get(request).map(|placed| &placed.engine)
    }

    /// The request that should be read before another one is sent to the same
    /// engine: it has that read parts which both share. Engines that get both at
    /// the same time read those parts twice.
    #[must_use]
    pub fn awaited_request(&self, request: &str) -> Option<&str> {
        self.requests.get(request)?.reader.as_deref()
    }

    /// Whether an engine still has to read a request's prompt.
    #[must_use]
    pub fn is_prefill_pending(&self, request: &str) -> bool {
        let placed = self.requests.get(request);
        placed.is_some_and(|placed| placed.is_reading)
    }

    /// Tokens that an engine has to read.
    #[must_use]
    pub fn pending_tokens(&self, engine: &TargetId) -> TokenCount {
        let state = self.engines.get(engine);
        TokenCount::new(state.map_or(0, |state| state.pending))
    }

    /// The engines that may get a request. Those that can't be reached get none
    /// while there are others, however many they are; of the rest no more than
    /// a part is left out.
    fn usable<'a>(
        &self,
        ask: &EngineQuery,
        candidates: &'a [Arc<TargetRecord>],
        now: ClockTime,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let state = |record: &Arc<TargetRecord>| self.engines.get(&record.id);
        let is_left_out =
            |record: &&Arc<TargetRecord>| state(record).is_some_and(|state| state.is_left_out(now));
        let is_gone = |record: &&Arc<TargetRecord>| {
            state(record).is_some_and(|state| state.is_unreachable(now))
        };
        let allowed = candidates.iter();
        let allowed: Vec<_> = allowed
            .filter(|record| !ask.avoid.contains(&record.id))
            .collect();
        let (gone, there): (Vec<_>, Vec<_>) = allowed.into_iter().partition(is_gone);
        if there.is_empty() {
            return gone;
        }
        let (left_out, healthy): (Vec<_>, Vec<_>) = there.iter().copied().partition(is_left_out);
        if healthy.is_empty() || left_out.len() > HEALTH_RULE.ejected_limit(there.len()) {
            return there;
        }
        healthy
    }

    fn best(
        &self,
        ask: &EngineQuery,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TargetId> {
        let pool = self.usable(ask, candidates, now);
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
            let others = ask.results.iter();
            let others = others.filter(|results| results.zone != record.zone);
            let away: u64 = others.map(|results| results.size.as_bytes()).sum();
            let away = away / AWAY_BYTES;
            let is_first = is_unknown && **rank == first;
            let again = if is_first { 0 } else { **missing };
            let state = &self.engines[&record.id];
            let is_full = state.requests >= record.slots;
            let cost = state.pending + **missing + again * REREAD_WEIGHT + away;
            // Engines that look alike are taken in one order for a prompt.
            (is_full, cost, !**rank)
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
            let state = state.unwrap_or_else(|| EngineState::new(record.started_at));
            self.engines.insert(record.id.clone(), state);
        }
        let engines = &self.engines;
        self.requests.retain(|request, placed| {
            let state = engines.get(&placed.engine);
            let is_there = state.is_some_and(|state| state.started_at == placed.started_at);
            if !is_there {
                self.forgotten
                    .remove(&(placed.forgotten_at, request.clone()));
            }
            is_there
        });
    }

    /// Removes the requests of which nothing was told for too long. Their engines
    /// have probably read them: it is the nodes that told nothing.
    fn forget(&mut self, now: ClockTime) {
        while let Some((at, request)) = self.forgotten.first().cloned()
            && at <= now
        {
            self.note_read(&request, now);
            self.remove(&request);
        }
    }

    /// Notes that a request's engine has read its prompt.
    fn note_read(&mut self, request: &str, now: ClockTime) {
        let Some(placed) = self.requests.get_mut(request) else {
            return;
        };
        let tokens = std::mem::take(&mut placed.tokens);
        placed.is_reading = false;
        let former = (placed.forgotten_at, request.to_owned());
        placed.forgotten_at = now + LONGEST_STREAM;
        self.forgotten.remove(&former);
        self.forgotten.insert((placed.forgotten_at, former.1));
        if let Some(state) = self.engines.get_mut(&placed.engine) {
            state.pending = state.pending.saturating_sub(tokens);
            state.memory.end_reading(request, true);
        }
    }

    fn remove(&mut self, request: &str) {
        let Some(placed) = self.requests.remove(request) else {
            return;
        };
        self.forgotten
            .remove(&(placed.forgotten_at, request.to_owned()));
        if let Some(state) = self.engines.get_mut(&placed.engine) {
            state.pending = state.pending.saturating_sub(placed.tokens);
            state.requests = state.requests.saturating_sub(1);
            if placed.is_reading {
                state.memory.end_reading(request, false);
            }
        }
    }
}
