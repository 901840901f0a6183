use std::collections::HashMap;

use super::PromptPart;
use crate::{cluster::rendezvous, units::TokenCount};

/// Number of tracked prefixes above which the evicted ones are removed.
const PRUNE_THRESHOLD: usize = 4_096;

/// Estimate of the prompt prefixes in an engine's cache.
///
/// Engines evict the least recently used prefixes. A prefix counts as cached
/// until the tokens prefilled since its last use reach the capacity of the
/// cache. A prefix whose prefill is pending counts as cached too: requests that
/// share it wait for that prefill.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCacheEstimate {
    /// Tokens of all prompts assigned so far, without those that were cached.
    total_tokens: u64,
    /// Value of `total_tokens` at the last use of each prefix.
    last_used: HashMap<u64, u64>,
    /// Prefixes whose prefill is pending, each with the request that it is done
    /// for.
    pending: HashMap<u64, String>,
}

impl PrefixCacheEstimate {
    /// Number of tokens of the shared parts that the engine would have to
    /// prefill.
    pub(super) fn uncached_tokens(&self, shared: &[PromptPart], capacity: TokenCount) -> u64 {
        let mut uncached = 0;
        let mut is_cached = true;
        for (prefix, tokens) in prefixes(shared) {
            is_cached &= self.is_cached(prefix, capacity);
            uncached += if is_cached { 0 } else { tokens };
        }
        uncached
    }

    /// The request for which the last of the shared parts with a pending prefill
    /// is prefilled, and the length of all such parts together.
    pub(super) fn pending_prefill(&self, shared: &[PromptPart]) -> Option<(&str, TokenCount)> {
        let mut last_request = None;
        let mut tokens = 0;
        for (prefix, part_tokens) in prefixes(shared) {
            if let Some(request) = self.pending.get(&prefix) {
                last_request = Some(request.as_str());
                tokens += part_tokens;
            }
        }
        last_request.map(|request| (request, TokenCount::new(tokens)))
    }

    /// Records that a prompt was assigned to the engine. Returns the number of
    /// tokens to prefill.
    pub(super) fn add_prompt(
        &mut self,
        request: &str,
        shared: &[PromptPart],
        own: TokenCount,
        capacity: TokenCount,
    ) -> TokenCount {
        let tokens = self.uncached_tokens(shared, capacity) + own.get();
        self.total_tokens += tokens;
        let mut is_cached = true;
        for (prefix, _) in prefixes(shared) {
            is_cached &= self.is_cached(prefix, capacity);
            if !is_cached {
                self.pending.insert(prefix, request.to_owned());
            }
            self.last_used.insert(prefix, self.total_tokens);
        }
        if self.last_used.len() > PRUNE_THRESHOLD {
            let total = self.total_tokens;
            self.last_used
                .retain(|_, used| total.saturating_sub(*used) < capacity.get());
        }
        TokenCount::new(tokens)
    }

    /// Records that the prefill for a request is complete, or that it will never
    /// be completed. In the latter case its prefixes no longer count as cached.
    pub(super) fn end_prefill(&mut self, request: &str, is_complete: bool) {
        let mut ended = Vec::new();
        self.pending.retain(|prefix, pending_request| {
            let is_other = pending_request != request;
            if !is_other {
                ended.push(*prefix);
            }
            is_other
        });
        if !is_complete {
            for prefix in ended {
                self.last_used.remove(&prefix);
            }
        }
    }

    fn is_cached(&self, prefix: u64, capacity: TokenCount) -> bool {
        let used = self.last_used.get(&prefix);
        used.is_some_and(|used| self.total_tokens.saturating_sub(*used) < capacity.get())
    }
}

/// Hashes of all prefixes of a prompt, each with the length of its last part. A
/// part is only cached together with those before it.
fn prefixes(shared: &[PromptPart]) -> impl Iterator<Item = (u64, u64)> {
    shared.iter().scan(0, |prefix: &mut u64, part| {
        *prefix = rendezvous::score(*prefix, part.hash);
        Some((*prefix, part.tokens.get()))
    })
}
