use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    EnginePace, EngineQuery, PromptProgress, PromptStep,
    assigned_request::AssignedRequest,
    engine_state::{EngineState, HEALTH_RULE},
    mean_pace::MeanPace,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    cluster::rendezvous,
    ids::TargetId,
    policy::{DecayedMean, numbers},
    targets::TargetRecord,
    units::TokenCount,
};

/// Time after which a request without any progress report is dropped. Callers
/// abandon streams that have not begun by then.
const PREFILL_REPORT_TIMEOUT: TimeSpan = TimeSpan::from_secs(6);
/// Time after its prefill when a request is dropped whose end was not reported.
/// Equals the longest deadlines of callers.
const STREAM_END_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);
/// Additional weight of shared tokens that an engine would have to prefill
/// again. Beyond the time that the request itself takes, this delays the
/// requests that come to the engine after it.
const RECOMPUTE_WEIGHT: u64 = 2;
/// Bytes of results whose transfer from another availability zone takes as long
/// as an engine takes to prefill a token: about 8 microseconds at one gigabit
/// per second.
const REMOTE_BYTES_PER_TOKEN: u64 = 1_000;
/// Least number of shared tokens for which a request waits until another request
/// has had them prefilled. Fewer are prefilled before the report of it arrives.
const MIN_AWAITED_TOKENS: TokenCount = TokenCount::new(1_000);

/// Requests between two that go to an engine only because it has had none for a
/// while. Limits the share of prompts that are read where they aren't cached. With
/// 8, several engines that were due at once waited for more than two seconds.
const SAMPLE_SPACING: u32 = 4;
/// Requests above its slots that an engine may get while others have free slots,
/// if it is expected to read them sooner. With 2, an engine that had recovered got
/// too few requests in one of six replays.
const MAX_EXCESS_REQUESTS: u32 = 3;
/// Weight of the latest request in the mean time that requests hold a slot.
const HOLD_WEIGHT: f64 = 0.02;

/// Assigns the prompts of all nodes to engines.
///
/// Designed for this load pattern: prompts are long and differ much in length,
/// an engine prefills them one after the other, and many nodes that know nothing
/// of each other's requests would let some engines queue while others are idle.
/// In a burst that queueing time exceeds all other times, and the results that
/// the waiting requests read occupy memory meanwhile. One node that tracks the
/// pending tokens and the cached prefixes of each engine sends each prompt where
/// its prefill completes soonest, and seldom has a prefix prefilled by a second
/// engine. An engine without a free slot makes requests wait for the end of a
/// stream, so it gets none while other engines have free slots. A request that
/// shares parts with a prompt whose prefill is pending is sent to that engine
/// once that prefill is complete.
///
/// Engines of one service differ in speed by up to three times, and some become
/// slower for a while. The scheduler learns from first events how long each engine
/// takes relative to the mean, and compares expected times. Slow engines also have
/// fewer prompts of their own. The wait for a slot of a full engine then counts as
/// time, up to a few requests above the slots, so that bursts don't go to slow
/// engines only because these have free slots. Paces are used only for services whose engines state
/// how long work takes on their VMs; elsewhere all engines count as equally fast.
#[derive(Debug)]
pub struct PromptScheduler {
    cache_capacity: TokenCount,
    engines: BTreeMap<TargetId, EngineState>,
    mean_pace: MeanPace,
    /// Time in milliseconds from the assignment of requests to their ends.
    hold_millis: DecayedMean,
    /// Whether an engine has stated how long work takes on its VM. Only the engines
    /// of services that share their VMs do, and only these differ in speed.
    states_work: bool,
    /// Requests since one was assigned to an engine that had long had none.
    requests_since_sample: u32,
    requests: HashMap<String, AssignedRequest>,
    /// Requests by the time at which they are dropped.
    expiries: BTreeSet<(ClockTime, String)>,
}

impl PromptScheduler {
    /// Creates a scheduler for engines that each cache `cache_capacity` tokens.
    #[must_use]
    pub fn new(cache_capacity: TokenCount) -> Self {
        Self {
            cache_capacity,
            engines: BTreeMap::new(),
            mean_pace: MeanPace::default(),
            hold_millis: DecayedMean::default(),
            states_work: false,
            requests_since_sample: 0,
            requests: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Sets the number of tokens that each engine can cache.
    pub const fn set_cache_capacity(&mut self, cache_capacity: TokenCount) {
        self.cache_capacity = cache_capacity;
    }

    /// Chooses an engine for a request and counts the request there until
    /// [`Self::record_progress`] reports its end or it expires. Returns `None` if
    /// no engine may get it.
    pub fn choose(
        &mut self,
        query: &EngineQuery,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TargetId> {
        self.sync_engines(candidates);
        self.expire(now);
        self.remove(&query.request);
        for state in self.engines.values_mut() {
            state.pace.update_classes(now);
        }
        let chosen = self.best(query, candidates, now)?;
        let state = self.engines.get_mut(&chosen)?;
        self.requests_since_sample = if state.needs_sample(u64::MAX, now) {
            0
        } else {
            self.requests_since_sample.saturating_add(1)
        };
        state.assigned_at = now;
        let awaited = state.prefix_cache.pending_prefill(&query.shared);
        let awaited = awaited.filter(|(_, tokens)| *tokens >= MIN_AWAITED_TOKENS);
        let awaited_request = awaited.map(|(request, _)| request.to_owned());
        let cache = &mut state.prefix_cache;
        let tokens = cache.add_prompt(
            &query.request,
            &query.shared,
            query.own,
            self.cache_capacity,
        );
        let tokens = tokens.get();
        let expires_at = now + PREFILL_REPORT_TIMEOUT;
        state.assign(&query.request, tokens, expires_at);
        self.expiries.insert((expires_at, query.request.clone()));
        self.requests.insert(
            query.request.clone(),
            AssignedRequest {
                engine: chosen.clone(),
                started_at: state.started_at,
                assigned_at: now,
                tokens,
                is_prefill_pending: true,
                awaited_request,
                expires_at,
            },
        );
        Some(chosen)
    }

    /// Records how far an engine has come with a request.
    pub fn record_progress(&mut self, progress: &PromptProgress, now: ClockTime) {
        let assigned = self.requests.get(&progress.request);
        if assigned.is_some_and(|assigned| assigned.engine == progress.engine) {
            if progress.step == PromptStep::Read {
                self.record_read(progress, now);
                self.finish_prefill(&progress.request, now);
            } else {
                let is_complete = |assigned: &&AssignedRequest| {
                    !assigned.is_prefill_pending && progress.step == PromptStep::Ended
                };
                if let Some(assigned) = assigned.filter(is_complete) {
                    let held = numbers::millis(now.since(assigned.assigned_at));
                    self.hold_millis.observe(held, HOLD_WEIGHT);
                }
                self.remove(&progress.request);
            }
        }
        let state = self.engines.get_mut(&progress.engine);
        if let Some(state) = state.filter(|state| state.started_at == progress.started_at) {
            state.record_progress(&progress.request, progress.step, now);
        }
    }

    /// The engine that a request is assigned to. `None` after the request has
    /// ended or expired.
    #[must_use]
    pub fn engine_of(&self, request: &str) -> Option<&TargetId> {
        self.requests.get(request).map(|assigned| &assigned.engine)
    }

    /// The request whose prefill should complete before `request` is sent to the
    /// same engine, because both share parts. An engine that gets both at the
    /// same time prefills those parts twice.
    #[must_use]
    pub fn awaited_request(&self, request: &str) -> Option<&str> {
        self.requests.get(request)?.awaited_request.as_deref()
    }

    /// Whether an engine has yet to complete the prefill of a request.
    #[must_use]
    pub fn is_prefill_pending(&self, request: &str) -> bool {
        let assigned = self.requests.get(request);
        assigned.is_some_and(|assigned| assigned.is_prefill_pending)
    }

    /// Number of tokens that an engine has yet to prefill.
    #[must_use]
    pub fn pending_tokens(&self, engine: &TargetId) -> TokenCount {
        let state = self.engines.get(engine);
        TokenCount::new(state.map_or(0, |state| state.pending_tokens))
    }

    /// What is known of the time that an engine takes to read prompts.
    #[must_use]
    pub fn pace_of(&self, engine: &TargetId, now: ClockTime) -> Option<EnginePace> {
        let pace = &self.engines.get(engine)?.pace;
        Some(EnginePace {
            percent: numbers::percent(pace.current()),
            lasting_percent: numbers::percent(pace.lasting()),
            age: pace.sampled_at().map(|at| now.since(at)),
        })
    }

    /// The engines that may get a request. Unreachable engines get none while any
    /// other is allowed, however many are unreachable. If more than a limited
    /// share of the reachable ones is ejected, all of these stay usable.
    fn usable<'a>(
        &self,
        query: &EngineQuery,
        candidates: &'a [Arc<TargetRecord>],
        now: ClockTime,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let state = |record: &Arc<TargetRecord>| self.engines.get(&record.id);
        let is_ejected =
            |record: &&Arc<TargetRecord>| state(record).is_some_and(|state| state.is_ejected(now));
        let is_unreachable = |record: &&Arc<TargetRecord>| {
            state(record).is_some_and(|state| state.is_unreachable(now))
        };
        let allowed = candidates.iter();
        let allowed: Vec<_> = allowed
            .filter(|record| !query.avoid.contains(&record.id))
            .collect();
        let (unreachable, reachable): (Vec<_>, Vec<_>) =
            allowed.into_iter().partition(is_unreachable);
        if reachable.is_empty() {
            return unreachable;
        }
        let (ejected, healthy): (Vec<_>, Vec<_>) = reachable.iter().copied().partition(is_ejected);
        if healthy.is_empty() || ejected.len() > HEALTH_RULE.ejected_limit(reachable.len()) {
            return reachable;
        }
        healthy
    }

    fn best(
        &self,
        query: &EngineQuery,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TargetId> {
        let pool = self.usable(query, candidates, now);
        let uncached: Vec<u64> = pool
            .iter()
            .map(|record| {
                self.engines[&record.id]
                    .prefix_cache
                    .uncached_tokens(&query.shared, self.cache_capacity)
            })
            .collect();
        if let Some(record) = self.unsampled(&pool, &uncached, now) {
            return Some(record.id.clone());
        }
        let last_part = query.shared.last();
        let key = last_part.map_or_else(|| rendezvous::text_hash(&query.request), |part| part.hash);
        let scores: Vec<u64> = pool
            .iter()
            .map(|record| {
                let hash = rendezvous::text_hash(record.id.as_str());
                rendezvous::score(key, hash)
            })
            .collect();
        // A prompt that no engine has cached in full belongs to the engine with
        // the highest rendezvous score. That engine has it cached if another node
        // scheduled it before, and a first part that all prompts may share must
        // not attract them all to one engine.
        let is_uncached = uncached.iter().all(|uncached| *uncached > 0);
        let top_score = self.top_score(&pool, &scores)?;
        let costs = pool.iter().zip(uncached.iter().zip(&scores));
        let best = costs.min_by_key(|(record, (uncached, score))| {
            let remote = query.results.iter();
            let remote = remote.filter(|results| results.zone != record.zone);
            let remote_bytes: u64 = remote.map(|results| results.size.as_bytes()).sum();
            let remote_tokens = remote_bytes / REMOTE_BYTES_PER_TOKEN;
            let is_top = is_uncached && **score == top_score;
            let recomputed = if is_top { 0 } else { **uncached };
            let state = &self.engines[&record.id];
            let excess = (state.request_count + 1).saturating_sub(record.slots);
            let is_full = excess > self.allowed_excess();
            let wait = self.slot_wait_tokens(excess, record.slots);
            let tokens = state.pending_tokens + **uncached + query.own.get();
            let paced = self.paced_tokens(tokens.saturating_add(wait), state);
            let cost = paced.saturating_add(recomputed * RECOMPUTE_WEIGHT + remote_tokens);
            // Ties go to the highest score, so that a prompt always prefers
            // equal engines in the same order.
            (is_full, cost, !**score)
        })?;
        Some(best.0.id.clone())
    }

    /// The engine that has been without a request for the longest time, if it gets
    /// the next one because its recovery would otherwise go unnoticed.
    fn unsampled<'a>(
        &self,
        pool: &[&'a Arc<TargetRecord>],
        uncached: &[u64],
        now: ClockTime,
    ) -> Option<&'a Arc<TargetRecord>> {
        if !self.states_work {
            return None;
        }
        let is_full = |record: &TargetRecord| {
            let state = &self.engines[&record.id];
            state.request_count >= record.slots
        };
        let may_read = self.requests_since_sample >= SAMPLE_SPACING;
        let unsampled = pool.iter().copied().zip(uncached);
        let unsampled = unsampled.filter(|(record, uncached)| {
            let state = &self.engines[&record.id];
            state.needs_sample(**uncached, now) && !is_full(record) && (**uncached == 0 || may_read)
        });
        let first = unsampled.min_by_key(|(record, _)| self.engines[&record.id].assigned_at);
        first.map(|(record, _)| record)
    }

    /// The rendezvous score of the engine that a prompt belongs to. Where paces are
    /// used, slow engines have as many fewer prompts as they take longer. Short
    /// slow-downs must not move prompts.
    fn top_score(&self, pool: &[&Arc<TargetRecord>], scores: &[u64]) -> Option<u64> {
        if !self.states_work {
            return scores.iter().copied().max();
        }
        let distances = pool.iter().zip(scores).map(|(record, score)| {
            let pace = self.engines[&record.id].pace.lasting();
            (rendezvous::distance(*score) * pace, *score)
        });
        let top = distances.min_by(|(left, left_score), (right, right_score)| {
            let order = left.total_cmp(right);
            order.then(right_score.cmp(left_score))
        });
        top.map(|(_, score)| score)
    }

    /// Requests above its slots with which an engine doesn't count as full.
    const fn allowed_excess(&self) -> u32 {
        if self.states_work {
            MAX_EXCESS_REQUESTS
        } else {
            0
        }
    }

    /// The number of tokens that an engine reads in the time until enough of its
    /// slots are free for `excess` requests above them, where paces are used.
    fn slot_wait_tokens(&self, excess: u32, slots: u32) -> u64 {
        if !self.states_work || excess == 0 {
            return 0;
        }
        let hold = self.hold_millis.get().unwrap_or_default();
        let wait = hold * f64::from(excess) / f64::from(slots.max(1));
        u64::try_from(numbers::floor(self.mean_pace.expected_tokens(wait))).unwrap_or(u64::MAX)
    }

    /// The number of tokens that a mean engine reads in the time that an engine
    /// takes for `tokens`, where paces are used.
    fn paced_tokens(&self, tokens: u64, state: &EngineState) -> u64 {
        if !self.states_work {
            return tokens;
        }
        let percent = u64::from(numbers::percent(state.pace.current()));
        tokens.saturating_mul(percent) / 100
    }

    /// Adds and removes engines to match the candidates. An engine that has
    /// restarted has nothing cached, and requests assigned before are dropped.
    fn sync_engines(&mut self, candidates: &[Arc<TargetRecord>]) {
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
        self.requests.retain(|request, assigned| {
            let state = engines.get(&assigned.engine);
            let is_running = state.is_some_and(|state| state.started_at == assigned.started_at);
            if !is_running {
                self.expiries
                    .remove(&(assigned.expires_at, request.clone()));
            }
            is_running
        });
    }

    /// Drops requests without a progress report for too long. Their prefill counts
    /// as complete: more likely the node failed to report it.
    fn expire(&mut self, now: ClockTime) {
        while let Some((at, request)) = self.expiries.first().cloned()
            && at <= now
        {
            self.finish_prefill(&request, now);
            self.remove(&request);
        }
    }

    /// Learns from the time that an engine took to read a prompt.
    fn record_read(&mut self, progress: &PromptProgress, now: ClockTime) {
        let Some(assigned) = self.requests.get(&progress.request) else {
            return;
        };
        let is_first = assigned.is_prefill_pending && assigned.started_at == progress.started_at;
        let state = self.engines.get_mut(&assigned.engine);
        if let Some(state) = state.filter(|_| is_first) {
            let after = progress.first_event_after;
            state.record_read(assigned.tokens, after, &mut self.mean_pace, now);
            self.states_work |= progress.work_percent.is_some();
        }
    }

    /// Marks the prefill of a request as complete.
    fn finish_prefill(&mut self, request: &str, now: ClockTime) {
        let Some(assigned) = self.requests.get_mut(request) else {
            return;
        };
        let tokens = std::mem::take(&mut assigned.tokens);
        assigned.is_prefill_pending = false;
        let former = (assigned.expires_at, request.to_owned());
        assigned.expires_at = now + STREAM_END_TIMEOUT;
        self.expiries.remove(&former);
        self.expiries.insert((assigned.expires_at, former.1));
        if let Some(state) = self.engines.get_mut(&assigned.engine) {
            state.pending_tokens = state.pending_tokens.saturating_sub(tokens);
            state.prefix_cache.end_prefill(request, true);
        }
    }

    fn remove(&mut self, request: &str) {
        let Some(assigned) = self.requests.remove(request) else {
            return;
        };
        self.expiries
            .remove(&(assigned.expires_at, request.to_owned()));
        if let Some(state) = self.engines.get_mut(&assigned.engine) {
            state.pending_tokens = state.pending_tokens.saturating_sub(assigned.tokens);
            state.request_count = state.request_count.saturating_sub(1);
            if assigned.is_prefill_pending {
                state.prefix_cache.end_prefill(request, false);
            }
        }
    }
}
