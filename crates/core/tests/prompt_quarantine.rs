//! Quarantine of parts of prompts that crash engines.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::PromptPart,
    ids::TargetId,
    policy::quarantine::{
        AnsweredParts, CrashEvidence, CrashReport, EngineRun, PartAnswer, PartKey, QuarantinedParts,
    },
    units::TokenCount,
};

const fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn part(name: &str) -> PartKey {
    PartKey::new("m", &PromptPart::new(name, TokenCount::new(100)))
}

fn parts(names: &[&str]) -> Vec<PartKey> {
    names.iter().map(|name| part(name)).collect()
}

fn run(engine: &str, started_at: u64) -> EngineRun {
    EngineRun {
        engine: TargetId::new(engine).expect("a valid id"),
        started_at: Some(started_at),
    }
}

fn report(engine: &str, names: &[&str]) -> CrashReport {
    CrashReport {
        run: run(engine, 1),
        parts: parts(names),
        age: TimeSpan::ZERO,
    }
}

fn answer(name: &str) -> PartAnswer {
    PartAnswer {
        part: part(name),
        age: TimeSpan::ZERO,
    }
}

/// A part that crashed engines, or was answered, at a time in milliseconds.
enum Event {
    Crash(u64, &'static str, &'static [&'static str]),
    Answer(u64, &'static str),
}
use Event::{Answer, Crash};

/// Returns the parts that are quarantined after the events.
fn quarantined(events: &[Event]) -> Vec<PartKey> {
    let mut evidence = CrashEvidence::default();
    let mut found: Vec<PartKey> = Vec::new();
    for event in events {
        match event {
            Crash(millis, engine, names) => {
                let known = found.clone();
                let is_quarantined = |part| known.contains(&part);
                evidence.record_crash(&report(engine, names), is_quarantined, at(*millis));
                while let Some(part) = evidence.deadly_part(|_| false, &BTreeSet::new()) {
                    evidence.explain(part, at(*millis));
                    found.push(part);
                }
            }
            Answer(millis, name) => evidence.record_answers(&[answer(name)], at(*millis)),
        }
    }
    found
}

#[test]
fn parts_are_quarantined_by_crashes_without_answers() {
    let cases: [(&str, &[Event], &[&str]); 8] = [
        (
            "the part that is never answered",
            &[
                Crash(1_000, "e1", &["a", "b", "x"]),
                Answer(1_100, "a"),
                Crash(2_000, "e2", &["a", "c", "x"]),
                Answer(2_100, "a"),
                Crash(3_000, "e3", &["a", "d", "x"]),
            ],
            &["x"],
        ),
        (
            "two crashes are not enough",
            &[Crash(1_000, "e1", &["x"]), Crash(2_000, "e2", &["x"])],
            &[],
        ),
        (
            "engines that crash together are one cause",
            &[
                Crash(1_000, "e1", &["a"]),
                Crash(1_020, "e2", &["a"]),
                Crash(1_050, "e3", &["a"]),
                Crash(1_110, "e4", &["a"]),
            ],
            &[],
        ),
        (
            "all reports of a run are one crash",
            &[
                Crash(1_000, "e1", &["x"]),
                Crash(2_000, "e1", &["x"]),
                Crash(3_000, "e1", &["x"]),
            ],
            &[],
        ),
        (
            "an answer clears a part of former crashes",
            &[
                Crash(1_000, "e1", &["a"]),
                Crash(2_000, "e2", &["a"]),
                Answer(2_500, "a"),
                Crash(3_000, "e3", &["a"]),
                Crash(4_000, "e4", &["a"]),
            ],
            &[],
        ),
        (
            "of parts that come together the last one",
            &[
                Crash(1_000, "e1", &["a", "b", "x"]),
                Crash(2_000, "e2", &["a", "b", "x"]),
                Crash(3_000, "e3", &["a", "b", "x"]),
            ],
            &["x"],
        ),
        (
            "a part that came together with the wrong one takes fewer crashes",
            &[
                Crash(1_000, "e1", &["x", "b"]),
                Crash(2_000, "e2", &["x", "b"]),
                Crash(3_000, "e3", &["x", "b"]),
                Crash(4_000, "e4", &["x", "c"]),
                Crash(5_000, "e5", &["x", "d"]),
            ],
            &["b", "x"],
        ),
        (
            "explained crashes don't speak against other parts",
            &[
                Crash(1_000, "e1", &["a", "x"]),
                Crash(2_000, "e2", &["b", "x"]),
                Crash(3_000, "e3", &["c", "x"]),
                Crash(3_500, "e1", &["s"]),
                Crash(4_000, "e4", &["s", "x"]),
                Crash(4_010, "e4", &["s"]),
                Crash(5_000, "e5", &["s", "x"]),
                Crash(6_000, "e6", &["s", "x"]),
            ],
            &["x"],
        ),
    ];
    for (name, events, expected) in cases {
        assert_eq!(quarantined(events), parts(expected), "{name}");
    }
}

#[test]
fn part_that_was_quarantined_before_takes_one_crash() {
    let mut evidence = CrashEvidence::default();
    evidence.record_crash(&report("e1", &["a", "x"]), |_| false, at(1_000));
    assert_eq!(evidence.deadly_part(|_| false, &BTreeSet::new()), None);
    let is_known = |known| known == part("x");
    assert_eq!(
        evidence.deadly_part(is_known, &BTreeSet::new()),
        Some(part("x"))
    );
    evidence.record_answers(&[answer("x")], at(1_100));
    assert_eq!(evidence.deadly_part(is_known, &BTreeSet::new()), None);
}

/// Engines that reset single connections are still there.
#[test]
fn engine_that_is_still_there_has_not_crashed() {
    let mut evidence = CrashEvidence::default();
    for (engine, millis) in [("e1", 1_000), ("e2", 2_000), ("e3", 3_000)] {
        evidence.record_crash(&report(engine, &["c"]), |_| false, at(millis));
    }
    let runs = evidence.runs_with(part("c"));
    assert_eq!(runs, [run("e1", 1), run("e2", 1), run("e3", 1)]);
    let none = BTreeSet::new();
    assert_eq!(evidence.deadly_part(|_| false, &none), Some(part("c")));
    let survivors = BTreeSet::from([run("e2", 1)]);
    assert_eq!(evidence.deadly_part(|_| false, &survivors), None);
}

#[test]
fn quarantines_end_at_one_node_after_the_other() {
    let mut first = QuarantinedParts::new(0);
    let notice = first.begin(part("x"), at(0));
    let period = notice.period.as_millis();
    let mut last = QuarantinedParts::new(999);
    assert_eq!(last.merge(vec![notice], at(0)).len(), 1);
    assert!(last.merge(vec![notice], at(10)).is_empty());
    let names = parts(&["a", "x"]);
    let (found, left) = first.time_left(&names, at(1_000)).expect("a quarantine");
    assert_eq!((found, left.as_millis()), (part("x"), period - 1_000));
    assert_eq!(first.time_left(&names, at(period + 1)), None);
    assert!(last.time_left(&names, at(period + 1)).is_some());
    assert_eq!(last.time_left(&names, at(period * 2)), None);
    assert!(first.is_remembered(part("x")));
    let again = first.begin(part("x"), at(period + 1));
    assert_eq!(again.period, notice.period * 2);
    assert_eq!(
        last.merge(first.notices(at(period * 2)), at(period * 2))
            .len(),
        1
    );
}

#[test]
fn answered_parts_are_bounded() {
    let mut answered = AnsweredParts::default();
    let names: Vec<PartKey> = (0..10_000).map(|index| part(&index.to_string())).collect();
    for (millis, name) in names.iter().enumerate() {
        answered.record(&[*name], at(millis as u64));
    }
    let known = answered.answers(&names, at(10_000));
    assert_eq!(known.len(), 4_096);
    assert_eq!(known.last().expect("an answer").age.as_millis(), 1);
}

/// A day of requests at engines that crash, in virtual time.
struct CrashDay {
    rng: Rng,
    engines: usize,
    requests_per_second: u64,
    /// Thousandths of the requests that have the deadly part.
    deadly_share: u64,
}

#[derive(Default)]
struct DayResult {
    deadly_crashes: usize,
    found_deadly: bool,
    wrong: usize,
    rejected_sound: usize,
}

impl CrashDay {
    const MILLIS: u64 = 30_000;
    /// Time for which an engine is down after a crash.
    const DOWN_MILLIS: u64 = 3_000;
    const SETTLING_MILLIS: u64 = 250;
    /// Moments at which four in ten engines crash.
    const WAVES: [u64; 4] = [5_000, 9_000, 9_600, 17_000];

    /// Parts of a sound request: one that a third of them share, one that many share,
    /// and one of a document that few share.
    fn sound_parts(&mut self) -> Vec<PartKey> {
        let first = part(&format!("a{}", self.rng.u64(0..3)));
        let second = part(&format!("b{}", self.rng.u64(0..20)));
        let third = part(&format!("c{}", self.rng.u64(0..400)));
        vec![first, second, third]
    }

    fn play(mut self, has_waves: bool) -> DayResult {
        let deadly = part("x");
        let mut result = DayResult::default();
        let mut evidence = CrashEvidence::default();
        let mut answers: BTreeMap<PartKey, ClockTime> = BTreeMap::new();
        let mut found: Vec<PartKey> = Vec::new();
        let mut down_until = vec![0; self.engines];
        let mut runs = vec![1; self.engines];
        // Requests at each engine: parts, begin and end of the phase before the
        // answer has settled, and whether they crash the engine as it begins.
        let mut waiting: Vec<Vec<(Vec<PartKey>, u64, bool)>> = vec![Vec::new(); self.engines];
        for millis in 0..Self::MILLIS {
            let is_wave = has_waves && Self::WAVES.contains(&millis);
            for engine in 0..self.engines {
                let triggers = waiting[engine]
                    .iter()
                    .any(|(_, begins, is_deadly)| *is_deadly && *begins <= millis);
                if triggers || is_wave && self.rng.u64(0..10) < 4 {
                    result.deadly_crashes += usize::from(triggers);
                    for (names, ..) in waiting[engine].drain(..) {
                        let is_quarantined = |name| found.contains(&name);
                        let report = CrashReport {
                            run: run(&format!("e{engine}"), runs[engine]),
                            parts: names,
                            age: TimeSpan::ZERO,
                        };
                        evidence.record_crash(&report, is_quarantined, at(millis));
                    }
                    runs[engine] += 1;
                    down_until[engine] = millis + Self::DOWN_MILLIS;
                    let suspects = evidence.suspects(|_| false).into_iter();
                    let known = suspects.filter_map(|name| {
                        let answered_at = answers.get(&name)?;
                        let age = at(millis).since(*answered_at);
                        Some(PartAnswer { part: name, age })
                    });
                    let known: Vec<PartAnswer> = known.collect();
                    evidence.record_answers(&known, at(millis));
                    while let Some(name) = evidence.deadly_part(|_| false, &BTreeSet::new()) {
                        evidence.explain(name, at(millis));
                        result.found_deadly |= name == deadly;
                        result.wrong += usize::from(name != deadly);
                        found.push(name);
                    }
                }
                waiting[engine].retain(|(names, begins, is_deadly)| {
                    let is_settled = !is_deadly && begins + Self::SETTLING_MILLIS <= millis;
                    if is_settled {
                        let settled = names.iter().map(|name| (*name, at(millis)));
                        answers.extend(settled);
                    }
                    !is_settled
                });
            }
            if self.rng.u64(0..1_000) < self.requests_per_second {
                self.send(millis, &found, &down_until, &mut waiting, &mut result);
            }
        }
        result
    }

    fn send(
        &mut self,
        millis: u64,
        found: &[PartKey],
        down_until: &[u64],
        waiting: &mut [Vec<(Vec<PartKey>, u64, bool)>],
        result: &mut DayResult,
    ) {
        let mut names = self.sound_parts();
        let is_deadly = millis > 4_000 && self.rng.u64(0..1_000) < self.deadly_share;
        if is_deadly {
            names[2] = part("x");
        }
        if names.iter().any(|name| found.contains(name)) {
            result.rejected_sound += usize::from(!is_deadly);
            return;
        }
        let engine = self.rng.usize(0..self.engines);
        if down_until[engine] <= millis {
            let begins = millis + self.rng.u64(40..300);
            waiting[engine].push((names, begins, is_deadly));
        }
    }
}

#[test]
fn crashes_of_other_causes_quarantine_nothing() {
    let (mut wrong, mut rejected) = (0, 0);
    for seed in 0..60 {
        for (engines, requests_per_second) in [(9, 60), (12, 100), (60, 400), (130, 800)] {
            let day = CrashDay {
                rng: Rng::with_seed(seed),
                engines,
                requests_per_second,
                deadly_share: 0,
            };
            let result = day.play(true);
            if result.wrong > 0 {
                println!("{engines} engines, seed {seed}: {} wrong", result.wrong);
            }
            wrong += result.wrong;
            rejected += result.rejected_sound;
        }
    }
    assert_eq!((wrong, rejected), (0, 0));
}

#[test]
fn deadly_part_is_found_beside_other_crashes() {
    for (engines, requests_per_second, deadly_share, has_waves) in [
        (9, 60, 50, false),
        (12, 100, 15, true),
        (12, 100, 50, true),
        (60, 400, 50, true),
        (130, 800, 10, true),
    ] {
        let (mut most, mut wrong) = (0, 0);
        for seed in 0..20 {
            let day = CrashDay {
                rng: Rng::with_seed(seed),
                engines,
                requests_per_second,
                deadly_share,
            };
            let result = day.play(has_waves);
            assert!(result.found_deadly, "{engines} engines, seed {seed}");
            most = most.max(result.deadly_crashes);
            wrong += result.wrong;
        }
        println!("{engines} engines, {deadly_share} in 1,000: {most} crashes, {wrong} wrong");
        assert_eq!(wrong, 0, "{engines} engines");
    }
}
