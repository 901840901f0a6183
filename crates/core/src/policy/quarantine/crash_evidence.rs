use std::collections::{BTreeMap, BTreeSet};

use super::{CrashReport, EngineRun, PartAnswer, PartKey};
use crate::clock::{ClockTime, TimeSpan};

/// Number of separate crashes, without an answer in between, after which a part is
/// quarantined.
const DEADLY_CRASHES: usize = 3;
/// Number of such crashes after which a part is suspected.
const SUSPECT_CRASHES: usize = 2;
/// Minimum time between crashes that count separately. Engines that share a cause,
/// such as a rack without power, crash within a shorter time of each other.
const MIN_SEPARATION: TimeSpan = TimeSpan::from_millis(200);
/// Time for which a crash is remembered.
const CRASH_LIFETIME: TimeSpan = TimeSpan::from_secs(1_800);
/// Maximum number of crashes that are remembered. The oldest ones are dropped first.
const MAX_CRASHES: usize = 256;
/// Maximum number of parts that are remembered for a crash. Few requests await their
/// first event at an engine at the same time.
const MAX_CRASH_PARTS: usize = 128;
/// Maximum number of parts whose last answers are remembered.
const MAX_ANSWERS: usize = 4_096;
/// Maximum number of parts that are remembered as runners-up.
const MAX_RUNNERS_UP: usize = 64;

#[derive(Clone, Debug)]
struct EngineCrash {
    at: ClockTime,
    /// Parts of the requests whose answers had not settled, with their positions in
    /// the prompt.
    parts: BTreeMap<PartKey, usize>,
}

/// How strongly the evidence speaks against a part. The greatest one is the
/// strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PartWeight {
    /// Number of groups of crashes since the part was last answered, and one more if
    /// no answer with it is known at all.
    score: usize,
    /// Whether no answer with the part is known at all.
    is_never_answered: bool,
    /// Number of crashes since the part was last answered.
    crashes: usize,
    /// Position in the prompt. Of two parts that always come together, the later one
    /// belongs to fewer requests.
    position: usize,
}

impl PartWeight {
    fn separate_crashes(&self) -> usize {
        self.score - usize::from(self.is_never_answered)
    }
}

/// Finds the part of a prompt that crashes engines.
///
/// Designed for this load pattern: a few of the requests hold a part that crashes
/// each engine that begins to answer them. Sound requests share all their other
/// parts, wait for their answers at the same engines and lose them in the same
/// crashes, while engines crash for other reasons too, some of them together. An
/// answer clears a part of all crashes before it. Of the parts that remain the one
/// with most crashes is quarantined, or of several the last one in the prompt. Its
/// crashes are explained then and no longer speak against other parts. A run that is
/// still there has not crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<EngineRun, EngineCrash>,
    /// Crashes that a quarantined part explains.
    explained: BTreeMap<EngineRun, ClockTime>,
    /// Parts against which the evidence was as strong as against one that was
    /// quarantined at the given time, and that were not answered since.
    runners_up: BTreeMap<PartKey, ClockTime>,
    /// Last known answers of parts that were in a crash.
    answers: BTreeMap<PartKey, ClockTime>,
}

impl CrashEvidence {
    /// Records a crash. All reports of the same run of an engine are one crash.
    /// `is_quarantined` tells which parts explain it.
    pub fn record_crash<Known>(
        &mut self,
        report: &CrashReport,
        is_quarantined: Known,
        now: ClockTime,
    ) where
        Known: Fn(PartKey) -> bool,
    {
        let at = now - report.age;
        let run = report.run.clone();
        if report.parts.iter().any(|part| is_quarantined(*part)) {
            self.crashes.remove(&run);
            self.explained.insert(run.clone(), at);
        }
        if self.explained.contains_key(&run) {
            self.expire(now);
            return;
        }
        let crash = self.crashes.entry(run).or_insert_with(|| EngineCrash {
            at,
            parts: BTreeMap::new(),
        });
        crash.at = crash.at.min(at);
        let room = MAX_CRASH_PARTS.saturating_sub(crash.parts.len());
        for (position, part) in report.parts.iter().enumerate().take(room) {
            let known = crash.parts.entry(*part).or_insert(position);
            *known = position.max(*known);
        }
        self.expire(now);
    }

    /// Records when parts were last answered.
    pub fn record_answers(&mut self, answers: &[PartAnswer], now: ClockTime) {
        for answer in answers {
            let at = now - answer.age;
            let known = self.answers.entry(answer.part).or_insert(at);
            *known = at.max(*known);
            let runner_up = self.runners_up.get(&answer.part);
            if runner_up.is_some_and(|quarantined_at| at > *quarantined_at) {
                self.runners_up.remove(&answer.part);
            }
        }
    }

    /// The runs whose crashes speak against a part.
    #[must_use]
    pub fn runs_with(&self, part: PartKey) -> Vec<EngineRun> {
        let crashes = self.crashes.iter();
        let runs = crashes.filter(|(_, crash)| crash.parts.contains_key(&part));
        runs.map(|(run, _)| run.clone()).collect()
    }

    /// Parts that crashed engines more than once since they were last answered, as
    /// far as is known. `is_known` tells which ones were quarantined already.
    #[must_use]
    pub fn suspects<Known>(&self, is_known: Known) -> Vec<PartKey>
    where
        Known: Fn(PartKey) -> bool,
    {
        let weights = self.weights(&BTreeSet::new()).into_iter();
        let suspected = weights.filter(|(part, weight)| {
            weight.separate_crashes() >= SUSPECT_CRASHES
                || is_known(*part) && weight.separate_crashes() > 0
        });
        suspected.map(|(part, _)| part).collect()
    }

    /// The part to quarantine next, if the evidence against any is strong enough. One
    /// that `is_known` from an earlier quarantine takes one crash. Runs that are
    /// `survivors` have lost single connections only.
    #[must_use]
    pub fn deadly_part<Known>(
        &self,
        is_known: Known,
        survivors: &BTreeSet<EngineRun>,
    ) -> Option<PartKey>
    where
        Known: Fn(PartKey) -> bool,
    {
        let weights = self.weights(survivors);
        let deadly = weights.into_iter().filter(|(part, weight)| {
            let least = if is_known(*part) {
                1
            } else if self.runners_up.contains_key(part) {
                DEADLY_CRASHES - 1
            } else {
                DEADLY_CRASHES
            };
            weight.separate_crashes() >= least
        });
        let strongest = deadly.max_by_key(|(part, weight)| (is_known(*part), *weight));
        strongest.map(|(part, _)| part)
    }

    /// Records that a part was quarantined, which explains its crashes. Returns their
    /// number. A part that was in all of them too takes fewer further crashes.
    pub fn explain(&mut self, part: PartKey, now: ClockTime) -> usize {
        let weights = self.weights(&BTreeSet::new());
        if let Some(weight) = weights.get(&part) {
            let as_strong = weights
                .iter()
                .filter(|(_, other)| other.score >= weight.score);
            let as_strong = as_strong.filter(|(other, _)| **other != part);
            let room = MAX_RUNNERS_UP.saturating_sub(self.runners_up.len());
            let added = as_strong.map(|(other, _)| (*other, now)).take(room);
            self.runners_up.extend(added);
        }
        let crashes = std::mem::take(&mut self.crashes).into_iter();
        let (explained, rest): (BTreeMap<_, _>, BTreeMap<_, _>) =
            crashes.partition(|(_, crash)| crash.parts.contains_key(&part));
        let count = explained.len();
        let times = explained.into_iter().map(|(run, crash)| (run, crash.at));
        self.explained.extend(times);
        self.crashes = rest;
        count
    }

    /// Number of crashes that nothing explains so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether no unexplained crash is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// The weights of all parts that were in a crash since they were last answered.
    fn weights(&self, survivors: &BTreeSet<EngineRun>) -> BTreeMap<PartKey, PartWeight> {
        let mut weights: BTreeMap<PartKey, PartWeight> = BTreeMap::new();
        for group in self.groups(survivors) {
            let mut found: BTreeMap<PartKey, (usize, usize)> = BTreeMap::new();
            for crash in &group {
                for (part, position) in &crash.parts {
                    let answered_at = self.answers.get(part);
                    if answered_at.is_none_or(|answered_at| *answered_at < crash.at) {
                        let (crashes, last_position) = found.entry(*part).or_default();
                        *crashes += 1;
                        *last_position = (*last_position).max(*position);
                    }
                }
            }
            for (part, (crashes, position)) in found {
                let is_never_answered = !self.answers.contains_key(&part);
                let weight = weights.entry(part).or_insert(PartWeight {
                    score: usize::from(is_never_answered),
                    is_never_answered,
                    crashes: 0,
                    position,
                });
                // Engines that crash together and mostly without the part have
                // another cause.
                weight.score += usize::from(crashes * 2 > group.len());
                weight.crashes += crashes;
                weight.position = weight.position.max(position);
            }
        }
        weights
    }

    /// The crashes in groups that count as one each, because they began together.
    fn groups(&self, survivors: &BTreeSet<EngineRun>) -> Vec<Vec<&EngineCrash>> {
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|(run, _)| !survivors.contains(*run));
        let mut crashes: Vec<&EngineCrash> = crashes.map(|(_, crash)| crash).collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut groups: Vec<Vec<&EngineCrash>> = Vec::new();
        for crash in crashes {
            match groups.last_mut() {
                Some(group) if crash.at.since(group[0].at) < MIN_SEPARATION => group.push(crash),
                _ => groups.push(vec![crash]),
            }
        }
        groups
    }

    fn expire(&mut self, now: ClockTime) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_LIFETIME);
        self.explained
            .retain(|_, at| now.since(*at) < CRASH_LIFETIME);
        while self.explained.len() > MAX_CRASHES {
            let oldest = self.explained.iter().min_by_key(|(_, at)| **at);
            let Some(run) = oldest.map(|(run, _)| run.clone()) else {
                return;
            };
            self.explained.remove(&run);
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(run) = oldest.map(|(run, _)| run.clone()) else {
                return;
            };
            self.crashes.remove(&run);
        }
        self.runners_up
            .retain(|_, at| now.since(*at) < CRASH_LIFETIME);
        if self.answers.len() > MAX_ANSWERS {
            let crashes = &self.crashes;
            self.answers.retain(|part, _| {
                let mut crashes = crashes.values();
                crashes.any(|crash| crash.parts.contains_key(part))
            });
        }
    }
}
