use fastrand::Rng;

use super::{RouteRequest, RoutingMode, TargetPool, route_score::route_score};
use crate::{clock::ClockTime, policy::numbers};

/// Number of random samples in the node's own availability zone.
const SAME_ZONE_SAMPLES: usize = 6;
/// Number of random samples in other availability zones.
const OTHER_ZONES_SAMPLES: usize = 6;
/// Share of the prompt that the first and second target from the hash ring are
/// assumed to have cached.
const RING_CACHED_SHARES: [f64; 2] = [0.6, 0.3];
/// Maximum number of ring points that are examined to find these targets.
const MAX_RING_POINTS: usize = 8;
/// Maximum number of random draws to find one usable sample.
const MAX_DRAWS: usize = 4;

/// Which targets a search accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SearchPass {
    /// Targets that are not ejected and may have the model loaded.
    Strict,
    /// Also targets that are ejected or have not loaded the model.
    Lenient,
}

/// A search for a target of a pool.
pub(super) struct RouteSearch<'search> {
    pool: &'search TargetPool,
    request: &'search RouteRequest<'search>,
    pass: SearchPass,
    now: ClockTime,
}

impl<'search> RouteSearch<'search> {
    pub(super) fn new(
        pool: &'search TargetPool,
        request: &'search RouteRequest<'search>,
        pass: SearchPass,
        now: ClockTime,
    ) -> Self {
        Self {
            pool,
            request,
            pass,
            now,
        }
    }

    /// Returns the index of the selected target; `None` if no target is accepted.
    pub(super) fn pick(&self) -> Option<usize> {
        match self.request.mode {
            RoutingMode::RoundRobin => self.pick_round_robin(),
            RoutingMode::LeastInFlight => self.pick_least_in_flight(),
            RoutingMode::Adaptive => self.pick_adaptive(),
        }
    }

    fn is_usable(&self, index: usize) -> bool {
        let vm = &self.pool.targets[index];
        let allowed = !vm.is_leaving()
            && vm.can_serve(self.request.model)
            && !self.request.tried.contains(&vm.target);
        let meets_strict = || !vm.is_ejected(self.now) && vm.may_have_loaded(self.request.model);
        allowed && (self.pass == SearchPass::Lenient || meets_strict())
    }

    fn pick_round_robin(&self) -> Option<usize> {
        let size = self.pool.targets.len();
        let start = usize::try_from(self.pool.stats().next_round_robin()).unwrap_or(0);
        let order = (0..size).map(|step| (start + step) % size);
        order.into_iter().find(|index| self.is_usable(*index))
    }

    fn pick_least_in_flight(&self) -> Option<usize> {
        let size = self.pool.targets.len();
        let start = Rng::with_seed(self.request.seed).usize(..size.max(1));
        let order = (0..size).map(|step| (start + step) % size);
        order
            .filter(|index| self.is_usable(*index))
            .min_by_key(|index| self.pool.targets[*index].stats.in_flight())
    }

    fn pick_adaptive(&self) -> Option<usize> {
        let mut best = BestCandidate::default();
        let mut consider = |index: usize, cached: f64| {
            if self.is_usable(index) {
                let vm = &self.pool.targets[index];
                best.offer(
                    index,
                    route_score(vm, self.pool.stats(), self.request, cached, self.now),
                );
            }
        };
        self.visit_hinted(&mut consider);
        self.visit_ring(&mut consider);
        let mut rng = Rng::with_seed(self.request.seed);
        for (subset, samples) in [
            (&self.pool.same_zone, SAME_ZONE_SAMPLES),
            (&self.pool.other_zones, OTHER_ZONES_SAMPLES),
        ] {
            for _ in 0..samples {
                if let Some(index) = self.sample(subset, &mut rng) {
                    consider(index, 0.0);
                }
            }
        }
        best.index.or_else(|| self.pick_any(&mut rng))
    }

    fn visit_hinted<F>(&self, consider: &mut F)
    where
        F: FnMut(usize, f64),
    {
        let blocks = numbers::count(self.request.prefix.hashes().len());
        self.pool
            .stats()
            .cache_hints
            .find(self.request.prefix, |hint| {
                if let Some(index) = self.pool.by_short_id.get(&hint.short_id) {
                    let confidence =
                        hint.confidence(self.pool.targets[*index].stats.last_gap_at(), self.now);
                    consider(*index, confidence * numbers::count(hint.blocks) / blocks);
                }
            });
    }

    fn visit_ring<F>(&self, consider: &mut F)
    where
        F: FnMut(usize, f64),
    {
        let Some(key) = self.request.prefix.affinity_key() else {
            return;
        };
        let mut last = None;
        let mut considered = 0;
        for index in self.pool.ring.members_from(key).take(MAX_RING_POINTS) {
            if considered < RING_CACHED_SHARES.len() && last != Some(index) {
                consider(index, RING_CACHED_SHARES[considered]);
                last = Some(index);
                considered += 1;
            }
        }
    }

    fn sample(&self, subset: &[usize], rng: &mut Rng) -> Option<usize> {
        if subset.is_empty() {
            return None;
        }
        let mut draws = (0..MAX_DRAWS).map(|_| subset[rng.usize(..subset.len())]);
        draws.find(|index| self.is_usable(*index))
    }

    /// Returns the first usable target from a random start, for the rare case that
    /// sampling found none.
    fn pick_any(&self, rng: &mut Rng) -> Option<usize> {
        let size = self.pool.targets.len();
        let start = rng.usize(..size.max(1));
        let mut order = (0..size).map(|step| (start + step) % size);
        order.find(|index| self.is_usable(*index))
    }
}

/// The candidate with the lowest score so far.
#[derive(Default)]
struct BestCandidate {
    index: Option<usize>,
    score: f64,
}

impl BestCandidate {
    fn offer(&mut self, index: usize, score: f64) {
        if self.index.is_none() || score < self.score {
            self.index = Some(index);
            self.score = score;
        }
    }
}
