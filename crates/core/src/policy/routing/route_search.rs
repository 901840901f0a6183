use fastrand::Rng;

use super::{RouteRequest, RoutingMode, TargetPool, route_score::route_score};
use crate::{clock::ClockTime, policy::numbers};

/// Random samples in the node's own zone.
const NEAR_SAMPLES: usize = 6;
/// Random samples in other zones.
const FAR_SAMPLES: usize = 6;
/// Share of the prompt that the targets taken from the ring for its prefix are
/// thought to have cached.
const RING_CACHED: [f64; 2] = [0.6, 0.3];
/// Points of the ring looked at for them.
const RING_STEPS: usize = 8;
/// Draws for one sample before the search gives up.
const DRAW_LIMIT: usize = 4;

/// How strict the search for a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SearchPass {
    /// Healthy targets that hold the model.
    Strict,
    /// Also targets that do not hold the model yet, or are ejected.
    Lenient,
}

/// One search for a target among those of a pool.
pub(super) struct RouteSearch<'search> {
    pool: &'search TargetPool,
    ask: &'search RouteRequest<'search>,
    pass: SearchPass,
    now: ClockTime,
}

impl<'search> RouteSearch<'search> {
    pub(super) fn new(
        pool: &'search TargetPool,
        ask: &'search RouteRequest<'search>,
        pass: SearchPass,
        now: ClockTime,
    ) -> Self {
        Self {
            pool,
            ask,
            pass,
            now,
        }
    }

    /// The position of the target found.
    pub(super) fn pick(&self) -> Option<usize> {
        match self.ask.mode {
            RoutingMode::RoundRobin => self.pick_next(),
            RoutingMode::LeastInFlight => self.pick_least(),
            RoutingMode::Adaptive => self.pick_adaptive(),
        }
    }

    fn usable(&self, at: usize) -> bool {
        let vm = &self.pool.targets[at];
        let allowed = !vm.is_leaving()
            && vm.can_serve(self.ask.model)
            && !self.ask.tried.contains(&vm.target);
        let strict = || !vm.is_ejected(self.now) && vm.may_hold(self.ask.model);
        allowed && (self.pass == SearchPass::Lenient || strict())
    }

    fn pick_next(&self) -> Option<usize> {
        let size = self.pool.targets.len();
        let round = usize::try_from(self.pool.stats().next_round()).unwrap_or(0);
        let order = (0..size).map(|step| (round + step) % size);
        order.into_iter().find(|at| self.usable(*at))
    }

    fn pick_least(&self) -> Option<usize> {
        let size = self.pool.targets.len();
        let start = Rng::with_seed(self.ask.seed).usize(..size.max(1));
        let order = (0..size).map(|step| (start + step) % size);
        order
            .filter(|at| self.usable(*at))
            .min_by_key(|at| self.pool.targets[*at].stats.in_flight())
    }

    fn pick_adaptive(&self) -> Option<usize> {
        let mut best = BestPick::default();
        let mut consider = |at: usize, cached: f64| {
            if self.usable(at) {
                let vm = &self.pool.targets[at];
                best.offer(
                    at,
                    route_score(vm, self.pool.stats(), self.ask, cached, self.now),
                );
            }
        };
        self.visit_cached(&mut consider);
        self.visit_ring(&mut consider);
        let mut rng = Rng::with_seed(self.ask.seed);
        for (subset, samples) in [
            (&self.pool.near, NEAR_SAMPLES),
            (&self.pool.far, FAR_SAMPLES),
        ] {
            for _ in 0..samples {
                if let Some(at) = self.draw(subset, &mut rng) {
                    consider(at, 0.0);
                }
            }
        }
        best.at.or_else(|| self.pick_any(&mut rng))
    }

    fn visit_cached<F>(&self, consider: &mut F)
    where
        F: FnMut(usize, f64),
    {
        let blocks = numbers::count(self.ask.prefix.hashes().len());
        self.pool.stats().cache_hints.find(self.ask.prefix, |hint| {
            if let Some(at) = self.pool.by_short_id.get(&hint.slot) {
                let trust = hint.trust(self.pool.targets[*at].stats.gap_at(), self.now);
                consider(*at, trust * numbers::count(hint.blocks) / blocks);
            }
        });
    }

    fn visit_ring<F>(&self, consider: &mut F)
    where
        F: FnMut(usize, f64),
    {
        let Some(key) = self.ask.prefix.affinity() else {
            return;
        };
        let mut last = None;
        let mut taken = 0;
        for at in self.pool.ring.members_from(key).take(RING_STEPS) {
            if taken < RING_CACHED.len() && last != Some(at) {
                consider(at, RING_CACHED[taken]);
                last = Some(at);
                taken += 1;
            }
        }
    }

    fn draw(&self, subset: &[usize], rng: &mut Rng) -> Option<usize> {
        if subset.is_empty() {
            return None;
        }
        let mut draws = (0..DRAW_LIMIT).map(|_| subset[rng.usize(..subset.len())]);
        draws.find(|at| self.usable(*at))
    }

    /// The first usable target from a random start: for the rare case that
    /// samples have found none.
    fn pick_any(&self, rng: &mut Rng) -> Option<usize> {
        let size = self.pool.targets.len();
        let start = rng.usize(..size.max(1));
        let mut order = (0..size).map(|step| (start + step) % size);
        order.find(|at| self.usable(*at))
    }
}

/// The best candidate so far.
#[derive(Default)]
struct BestPick {
    at: Option<usize>,
    score: f64,
}

impl BestPick {
    fn offer(&mut self, at: usize, score: f64) {
        if self.at.is_none() || score < self.score {
            self.at = Some(at);
            self.score = score;
        }
    }
}
