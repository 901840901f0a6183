//! Choice of a target from late load reports, and progress through the stages of
//! one request.

use std::sync::Arc;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    policy::health::CallOutcome,
    routes::{GraphStage, StageService},
    staging::{GraphProgress, PathEstimate, QueueBacklog},
    targets::{LoadReport, TargetCriteria, TargetLoads, TargetRecord, TargetState},
    units::ByteSize,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn targets(count: usize) -> Vec<Arc<TargetRecord>> {
    let record = |number: usize| TargetRecord {
        id: TargetId::new(&format!("t{number}")).expect("a valid target identifier"),
        service: PoolName::new("pool").expect("a valid pool name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: ZoneName::new(&format!("z{}", number % 3)).expect("a valid zone name"),
        slots: 8,
        state: TargetState::Ready,
        started_at: None,
        revision: StoreRevision::new(EraNumber::ZERO, 1),
        cold_left: TimeSpan::ZERO,
        write_number: None,
    };
    (0..count).map(|number| Arc::new(record(number))).collect()
}

fn criteria(now: ClockTime, seed: u64) -> TargetCriteria<'static> {
    TargetCriteria {
        now,
        tried: &[],
        zone: None,
        affinity: None,
        seed,
    }
}

/// How often each target is chosen in 1,000 choices.
fn choice_counts(loads: &TargetLoads, targets: &[Arc<TargetRecord>], now: ClockTime) -> Vec<usize> {
    let mut counts = vec![0; targets.len()];
    for seed in 0..1_000 {
        let chosen = loads
            .choose(targets, &criteria(now, seed))
            .expect("a chosen target");
        let index = targets.iter().position(|target| target.id == chosen.id);
        counts[index.expect("the target is a candidate")] += 1;
    }
    counts
}

#[test]
fn choices_from_the_same_reports_are_spread_over_all_targets() {
    let targets = targets(5);
    let counts = choice_counts(&TargetLoads::default(), &targets, at(0));
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

#[test]
fn burst_does_not_all_go_to_the_target_with_the_best_last_report() {
    let targets = targets(3);
    let mut loads = TargetLoads::default();
    let mut counts = [0; 3];
    for target in &targets {
        let report = LoadReport {
            running: if target.id.as_str() == "t0" { 0 } else { 4 },
            waiting: 0,
            slots: 8,
            work_percent: None,
            at: at(0),
        };
        loads.report(&target.id, report);
    }
    for seed in 0..30 {
        let chosen = loads
            .choose(&targets, &criteria(at(10), seed))
            .expect("a chosen target");
        loads.begin(&chosen.id);
        let index = targets.iter().position(|target| target.id == chosen.id);
        counts[index.expect("the target is a candidate")] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 6), "{counts:?}");
    assert!(counts[0] >= counts[1], "{counts:?}");
}

#[test]
fn weight_of_a_load_report_decreases_with_its_age() {
    let targets = targets(2);
    let mut loads = TargetLoads::default();
    let busy = LoadReport {
        running: 8,
        waiting: 20,
        slots: 8,
        work_percent: None,
        at: at(0),
    };
    loads.report(&targets[0].id, busy);
    assert_eq!(choice_counts(&loads, &targets, at(10))[0], 0);
    assert!(choice_counts(&loads, &targets, at(2_000))[0] > 300);
}

#[test]
fn failing_target_is_ejected_and_used_again_after_it_recovers() {
    let targets = targets(4);
    let mut loads = TargetLoads::default();
    for _ in 0..3 {
        loads.begin(&targets[0].id);
        loads.end(&targets[0].id, CallOutcome::Stalled, at(0));
    }
    assert_eq!(choice_counts(&loads, &targets, at(100))[0], 0);
    for number in 0..40 {
        loads.begin(&targets[0].id);
        loads.end(&targets[0].id, CallOutcome::Answered, at(5_000 + number));
    }
    assert!(choice_counts(&loads, &targets, at(20_000))[0] > 100);
}

#[test]
fn target_that_fails_a_share_of_its_calls_gets_few_requests() {
    let targets = targets(4);
    let mut loads = TargetLoads::default();
    for number in 0..40 {
        loads.begin(&targets[0].id);
        let is_failed = number % 5 < 2;
        let outcome = if is_failed {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered
        };
        loads.end(&targets[0].id, outcome, at(number));
    }
    let counts = choice_counts(&loads, &targets, at(100));
    assert!(counts[0] < 50, "{counts:?}");
}

#[test]
fn ejected_targets_are_used_when_most_targets_fail() {
    let targets = targets(3);
    let mut loads = TargetLoads::default();
    for target in &targets[..2] {
        for _ in 0..3 {
            loads.begin(&target.id);
            loads.end(&target.id, CallOutcome::Failed, at(0));
        }
    }
    let tried = [targets[2].id.clone()];
    let criteria = TargetCriteria {
        tried: &tried,
        ..criteria(at(10), 1)
    };
    assert!(loads.choose(&targets, &criteria).is_some());
}

#[test]
fn cancelled_requests_do_not_count_against_their_target() {
    let targets = targets(2);
    let mut loads = TargetLoads::default();
    for _ in 0..50 {
        loads.begin(&targets[0].id);
        loads.end(&targets[0].id, CallOutcome::Cancelled, at(0));
    }
    assert!(choice_counts(&loads, &targets, at(10))[0] > 300);
}

#[test]
fn prompt_goes_to_its_affinity_target_until_that_is_busy() {
    let targets = targets(6);
    let mut loads = TargetLoads::default();
    let criteria = |now, seed| TargetCriteria {
        affinity: Some(0x5eed),
        ..criteria(now, seed)
    };
    let preferred = loads
        .affinity_target(&targets, &criteria(at(0), 0))
        .expect("an affinity target");
    for seed in 0..20 {
        let chosen = loads
            .choose(&targets, &criteria(at(0), seed))
            .expect("a chosen target");
        assert_eq!(chosen.id, preferred.id);
    }
    for _ in 0..8 {
        loads.begin(&preferred.id);
    }
    // Requests that can't go to the full target all go to the same next one.
    let next = loads
        .affinity_target(&targets, &criteria(at(0), 0))
        .expect("an affinity target");
    assert_ne!(next.id, preferred.id);
    for seed in 0..20 {
        let chosen = loads
            .choose(&targets, &criteria(at(0), seed))
            .expect("a chosen target");
        assert_eq!(chosen.id, next.id);
    }
}

#[test]
fn nodes_that_see_an_affinity_target_fail_choose_the_same_next_one() {
    let targets = targets(6);
    let criteria = |seed| TargetCriteria {
        affinity: Some(0x5eed),
        ..criteria(at(10), seed)
    };
    let preferred = TargetLoads::default()
        .affinity_target(&targets, &criteria(0))
        .expect("an affinity target");
    let next_of = |failures: usize, seed: u64| {
        let mut loads = TargetLoads::default();
        for _ in 0..failures {
            loads.begin(&preferred.id);
            loads.end(&preferred.id, CallOutcome::Failed, at(0));
        }
        loads
            .choose(&targets, &criteria(seed))
            .expect("a chosen target")
            .id
            .clone()
    };
    let next = next_of(3, 0);
    assert_ne!(next, preferred.id);
    for (failures, seed) in [(2, 1), (3, 2), (5, 3)] {
        assert_eq!(next_of(failures, seed), next);
    }
}

#[test]
fn target_in_the_zone_of_the_inputs_is_preferred() {
    let targets = targets(6);
    let zone = ZoneName::new("z1").expect("a valid zone name");
    for seed in 0..50 {
        let criteria = TargetCriteria {
            zone: Some(&zone),
            ..criteria(at(0), seed)
        };
        let chosen = TargetLoads::default()
            .choose(&targets, &criteria)
            .expect("a chosen target");
        assert_eq!(chosen.zone, zone);
    }
}

fn stage(after: &[usize], bytes: u64) -> GraphStage {
    GraphStage {
        service: PoolName::new(&format!("s{bytes}")).expect("a valid pool name"),
        after: after.to_vec(),
        result_bytes: bytes,
    }
}

fn names(stage: usize, count: usize) -> Vec<String> {
    (0..count).map(|piece| format!("{stage}/{piece}")).collect()
}

/// An estimate by which each stage starts as soon as its inputs are complete.
fn eager_estimate(stages: &[GraphStage]) -> PathEstimate {
    let pieces = vec![0; stages.len()];
    PathEstimate::new(stages, &pieces, |_| None)
}

#[test]
fn stages_become_ready_when_all_before_them_are_done() {
    // Graph: 0 -> 2 -> 3, and 1 without dependencies.
    let stages = [stage(&[], 1), stage(&[], 2), stage(&[0], 3), stage(&[2], 4)];
    let estimate = eager_estimate(&stages);
    let mut progress =
        GraphProgress::new(Arc::from(stages), &[1, 2, 3, 1]).expect("one count per stage");
    assert_eq!(progress.take_ready(&estimate), [0, 1]);
    assert_eq!(
        progress.take_ready(&estimate),
        Vec::<usize>::new(),
        "no stage starts twice"
    );
    progress.finish(0, names(0, 1), at(4_000));
    assert_eq!(progress.take_ready(&estimate), [2]);
    assert_eq!(progress.inputs(2), names(0, 1));
    assert!(
        progress.take_unneeded().is_empty(),
        "stage 2 still reads the result"
    );
    progress.finish(2, names(2, 3), at(5_000));
    assert_eq!(progress.take_unneeded().len(), 1);
    assert_eq!(progress.next_expiry(), Some(at(5_000)));
    assert_eq!(progress.take_ready(&estimate), [3]);
    progress.finish(3, names(3, 1), at(6_000));
    progress.finish(1, names(1, 2), at(3_000));
    assert!(progress.is_done());
    assert_eq!(
        progress.final_results(),
        [names(1, 2), names(3, 1)].concat()
    );
    assert_eq!(progress.next_expiry(), Some(at(3_000)));
    assert_eq!(progress.take_unneeded().len(), 1);
    assert_eq!(progress.take_all().len(), 2);
    assert!(
        progress.take_all().is_empty(),
        "no result is released twice"
    );
}

#[test]
fn stage_without_pieces_counts_as_done() {
    let stages: Arc<[GraphStage]> = Arc::from([stage(&[], 1), stage(&[0], 2)]);
    let mut progress =
        GraphProgress::new(Arc::clone(&stages), &[0, 2]).expect("one count per stage");
    let estimate = eager_estimate(&stages);
    assert_eq!(progress.take_ready(&estimate), [1]);
    assert!(progress.inputs(1).is_empty());
    assert!(GraphProgress::new(stages, &[1]).is_none());
}

#[test]
fn estimate_follows_the_longest_path_and_its_backlogs() {
    let service = StageService {
        slots: 1,
        batch: 10,
        call_ms: 100.0,
        piece_ms: 10.0,
        room: ByteSize::from_mib(1),
        result_lifetime: TimeSpan::from_secs(4),
    };
    let stages = [stage(&[], 1), stage(&[0], 2), stage(&[], 3)];
    let estimate = |backlog: u64| {
        let backlog = QueueBacklog {
            on_time: TimeSpan::from_millis(backlog),
            ..QueueBacklog::default()
        };
        PathEstimate::new(&stages, &[1, 1, 1], |_| Some((service, backlog)))
    };
    let idle = estimate(0);
    assert!(idle.total() > idle.time_after(0) && idle.time_after(0) > idle.time_after(1));
    assert_eq!(idle.time_after(1), idle.time_after(2));
    // Each of the two consecutive stages adds its backlog.
    let busy = estimate(1_000);
    let added = busy.total().saturating_sub(idle.total()).as_millis();
    assert!((1_800..=2_000).contains(&added), "{added}");
}

#[test]
fn short_branch_starts_when_the_long_one_is_nearly_done() {
    let service = StageService {
        slots: 1,
        batch: 10,
        call_ms: 100.0,
        piece_ms: 10.0,
        room: ByteSize::from_mib(1),
        result_lifetime: TimeSpan::from_secs(4),
    };
    // Graph: 1 -> 2 -> 3, and 0 whose large results only the request itself reads.
    let stages = [
        stage(&[], 3_000_000),
        stage(&[], 1),
        stage(&[1], 2),
        stage(&[2], 3),
    ];
    let pieces = [1, 1, 1, 1];
    let estimate = PathEstimate::new(&stages, &pieces, |_| {
        Some((service, QueueBacklog::default()))
    });
    let mut progress = GraphProgress::new(Arc::from(stages), &pieces).expect("one count per stage");
    assert_eq!(progress.take_ready(&estimate), [1]);
    progress.finish(1, names(1, 1), at(4_000));
    let mut started = progress.take_ready(&estimate);
    progress.finish(2, names(2, 1), at(5_000));
    started.extend(progress.take_ready(&estimate));
    started.sort_unstable();
    assert_eq!(
        started,
        [0, 2, 3],
        "stage 0 does not wait for the end of the other branch"
    );
}

/// Guards against a load report that is lost because of its optional figure, and
/// against a value that is no statement.
#[test]
fn load_report_may_state_how_long_work_takes() {
    let decode = |text| LoadReport::decode(text, at(5));
    let report = |work_percent| LoadReport {
        running: 1,
        waiting: 2,
        slots: 8,
        work_percent,
        at: at(5),
    };
    assert_eq!(decode("1,2,8"), Some(report(None)));
    assert_eq!(decode("1, 2, 8, 250"), Some(report(Some(250))));
    for text in ["1,2,8,", "1,2,8,x", "1,2,8,-1", "1,2,8,0"] {
        assert_eq!(decode(text), Some(report(None)), "{text}");
    }
    assert_eq!(decode("1,2"), None);
    assert_eq!(decode("x,2,8,100"), None);
}

/// Guards against news of first events that don't carry the latest statement.
#[test]
fn latest_report_tells_how_long_work_takes() {
    let targets = targets(1);
    let id = &targets[0].id;
    let mut loads = TargetLoads::default();
    assert_eq!(loads.work_percent(id), None);
    for (text, percent) in [("1,2,8,250", Some(250)), ("1,2,8", None)] {
        loads.report(id, LoadReport::decode(text, at(0)).expect("a report"));
        assert_eq!(loads.work_percent(id), percent);
    }
}
