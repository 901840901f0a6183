//! Choice of a target from late reports, and the stages of one request.

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
        id: TargetId::new(&format!("t{number}")).expect("an id"),
        service: PoolName::new("pool").expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new(&format!("z{}", number % 3)).expect("a name"),
        slots: 8,
        state: TargetState::Ready,
        started_at: None,
        revision: StoreRevision::new(EraNumber::ZERO, 1),
    };
    (0..count).map(|number| Arc::new(record(number))).collect()
}

fn ask(now: ClockTime, seed: u64) -> TargetCriteria<'static> {
    TargetCriteria {
        now,
        tried: &[],
        zone: None,
        affinity: None,
        seed,
    }
}

/// How often each target is chosen in a thousand choices.
fn shares(loads: &TargetLoads, targets: &[Arc<TargetRecord>], now: ClockTime) -> Vec<usize> {
    let mut counts = vec![0; targets.len()];
    for seed in 0..1_000 {
        let chosen = loads.choose(targets, &ask(now, seed)).expect("a target");
        let place = targets.iter().position(|target| target.id == chosen.id);
        counts[place.expect("one of them")] += 1;
    }
    counts
}

#[test]
fn nodes_with_the_same_reports_do_not_all_choose_the_same_target() {
    let targets = targets(5);
    let shares = shares(&TargetLoads::default(), &targets, at(0));
    assert!(shares.iter().all(|share| *share > 100), "{shares:?}");
}

#[test]
fn burst_is_not_sent_where_the_last_report_was_good() {
    let targets = targets(3);
    let mut loads = TargetLoads::default();
    let mut counts = [0; 3];
    for target in &targets {
        let report = LoadReport {
            running: if target.id.as_str() == "t0" { 0 } else { 4 },
            waiting: 0,
            slots: 8,
            at: at(0),
        };
        loads.report(&target.id, report);
    }
    for seed in 0..30 {
        let chosen = loads
            .choose(&targets, &ask(at(10), seed))
            .expect("a target");
        loads.begin(&chosen.id);
        let place = targets.iter().position(|target| target.id == chosen.id);
        counts[place.expect("one of them")] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 6), "{counts:?}");
    assert!(counts[0] >= counts[1], "{counts:?}");
}

#[test]
fn old_reports_fade() {
    let targets = targets(2);
    let mut loads = TargetLoads::default();
    let busy = LoadReport {
        running: 8,
        waiting: 20,
        slots: 8,
        at: at(0),
    };
    loads.report(&targets[0].id, busy);
    assert_eq!(shares(&loads, &targets, at(10))[0], 0);
    assert!(shares(&loads, &targets, at(2_000))[0] > 300);
}

#[test]
fn target_that_fails_is_left_out_and_comes_back() {
    let targets = targets(4);
    let mut loads = TargetLoads::default();
    for _ in 0..3 {
        loads.begin(&targets[0].id);
        loads.end(&targets[0].id, CallOutcome::Stalled, at(0));
    }
    assert_eq!(shares(&loads, &targets, at(100))[0], 0);
    for number in 0..40 {
        loads.begin(&targets[0].id);
        loads.end(&targets[0].id, CallOutcome::Answered, at(5_000 + number));
    }
    assert!(shares(&loads, &targets, at(20_000))[0] > 100);
}

#[test]
fn target_that_fails_a_share_of_its_calls_gets_few() {
    let targets = targets(4);
    let mut loads = TargetLoads::default();
    for number in 0..40 {
        loads.begin(&targets[0].id);
        let is_bad = number % 5 < 2;
        let outcome = if is_bad {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered
        };
        loads.end(&targets[0].id, outcome, at(number));
    }
    let shares = shares(&loads, &targets, at(100));
    assert!(shares[0] < 50, "{shares:?}");
}

#[test]
fn all_targets_are_used_when_most_of_them_fail() {
    let targets = targets(3);
    let mut loads = TargetLoads::default();
    for target in &targets[..2] {
        for _ in 0..3 {
            loads.begin(&target.id);
            loads.end(&target.id, CallOutcome::Failed, at(0));
        }
    }
    let tried = [targets[2].id.clone()];
    let ask = TargetCriteria {
        tried: &tried,
        ..ask(at(10), 1)
    };
    assert!(loads.choose(&targets, &ask).is_some());
}

#[test]
fn work_that_was_given_up_says_nothing_about_its_target() {
    let targets = targets(2);
    let mut loads = TargetLoads::default();
    for _ in 0..50 {
        loads.begin(&targets[0].id);
        loads.end(&targets[0].id, CallOutcome::Cancelled, at(0));
    }
    assert!(shares(&loads, &targets, at(10))[0] > 300);
}

#[test]
fn prompt_stays_at_its_holder_until_that_is_busy() {
    let targets = targets(6);
    let mut loads = TargetLoads::default();
    let ask = |now, seed| TargetCriteria {
        affinity: Some(0x5eed),
        ..ask(now, seed)
    };
    let holder = loads
        .affinity_target(&targets, &ask(at(0), 0))
        .expect("a holder");
    for seed in 0..20 {
        let chosen = loads.choose(&targets, &ask(at(0), seed)).expect("a target");
        assert_eq!(chosen.id, holder.id);
    }
    for _ in 0..8 {
        loads.begin(&holder.id);
    }
    // What a full holder turns away meets at one next target.
    let next = loads
        .affinity_target(&targets, &ask(at(0), 0))
        .expect("a holder");
    assert_ne!(next.id, holder.id);
    for seed in 0..20 {
        let chosen = loads.choose(&targets, &ask(at(0), seed)).expect("a target");
        assert_eq!(chosen.id, next.id);
    }
}

#[test]
fn nodes_that_find_a_holder_failing_choose_the_same_next_one() {
    let targets = targets(6);
    let ask = |seed| TargetCriteria {
        affinity: Some(0x5eed),
        ..ask(at(10), seed)
    };
    let holder = TargetLoads::default()
        .affinity_target(&targets, &ask(0))
        .expect("one");
    let next_of = |failures: usize, seed: u64| {
        let mut loads = TargetLoads::default();
        for _ in 0..failures {
            loads.begin(&holder.id);
            loads.end(&holder.id, CallOutcome::Failed, at(0));
        }
        loads
            .choose(&targets, &ask(seed))
            .expect("a target")
            .id
            .clone()
    };
    let next = next_of(3, 0);
    assert_ne!(next, holder.id);
    for (failures, seed) in [(2, 1), (3, 2), (5, 3)] {
        assert_eq!(next_of(failures, seed), next);
    }
}

#[test]
fn zone_of_the_inputs_goes_before_other_zones() {
    let targets = targets(6);
    let zone = ZoneName::new("z1").expect("a name");
    for seed in 0..50 {
        let ask = TargetCriteria {
            zone: Some(&zone),
            ..ask(at(0), seed)
        };
        let chosen = TargetLoads::default()
            .choose(&targets, &ask)
            .expect("a target");
        assert_eq!(chosen.zone, zone);
    }
}

fn stage(after: &[usize], bytes: u64) -> GraphStage {
    GraphStage {
        service: PoolName::new(&format!("s{bytes}")).expect("a name"),
        after: after.to_vec(),
        result_bytes: bytes,
    }
}

fn names(stage: usize, count: usize) -> Vec<String> {
    (0..count).map(|piece| format!("{stage}/{piece}")).collect()
}

/// An estimate that lets each stage start as soon as it can.
fn eager(stages: &[GraphStage]) -> PathEstimate {
    let none = vec![0; stages.len()];
    PathEstimate::new(stages, &none, |_| None)
}

#[test]
fn stages_become_ready_when_all_before_them_are_done() {
    // 0 -> 2 -> 3, and 1 on its own.
    let stages = [stage(&[], 1), stage(&[], 2), stage(&[0], 3), stage(&[2], 4)];
    let soon = eager(&stages);
    let mut progress = GraphProgress::new(Arc::from(stages), &[1, 2, 3, 1]).expect("they fit");
    assert_eq!(progress.take_ready(&soon), [0, 1]);
    assert_eq!(
        progress.take_ready(&soon),
        Vec::<usize>::new(),
        "none begins twice"
    );
    progress.finish(0, names(0, 1), at(4_000));
    assert_eq!(progress.take_ready(&soon), [2]);
    assert_eq!(progress.inputs(2), names(0, 1));
    assert!(
        progress.take_unneeded().is_empty(),
        "stage 2 still reads it"
    );
    progress.finish(2, names(2, 3), at(5_000));
    assert_eq!(progress.take_unneeded().len(), 1);
    assert_eq!(progress.next_expiry(), Some(at(5_000)));
    assert_eq!(progress.take_ready(&soon), [3]);
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
    assert!(progress.take_all().is_empty(), "nothing is given up twice");
}

#[test]
fn stage_without_pieces_counts_as_done() {
    let stages: Arc<[GraphStage]> = Arc::from([stage(&[], 1), stage(&[0], 2)]);
    let mut progress = GraphProgress::new(Arc::clone(&stages), &[0, 2]).expect("they fit");
    let soon = eager(&stages);
    assert_eq!(progress.take_ready(&soon), [1]);
    assert!(progress.inputs(1).is_empty());
    assert!(GraphProgress::new(stages, &[1]).is_none());
}

#[test]
fn estimate_follows_the_longest_way_and_its_backlogs() {
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
    let calm = estimate(0);
    assert!(calm.total() > calm.time_after(0) && calm.time_after(0) > calm.time_after(1));
    assert_eq!(calm.time_after(1), calm.time_after(2));
    // Each of the two stages in a row adds its backlog.
    let busy = estimate(1_000);
    let added = busy.total().saturating_sub(calm.total()).as_millis();
    assert!((1_800..=2_000).contains(&added), "{added}");
}

#[test]
fn short_branch_begins_when_the_long_one_is_nearly_done() {
    let service = StageService {
        slots: 1,
        batch: 10,
        call_ms: 100.0,
        piece_ms: 10.0,
        room: ByteSize::from_mib(1),
        result_lifetime: TimeSpan::from_secs(4),
    };
    // 1 -> 2 -> 3, and 0 with large results that only the request reads.
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
    let mut progress = GraphProgress::new(Arc::from(stages), &pieces).expect("they fit");
    assert_eq!(progress.take_ready(&estimate), [1]);
    progress.finish(1, names(1, 1), at(4_000));
    let mut begun = progress.take_ready(&estimate);
    progress.finish(2, names(2, 1), at(5_000));
    begun.extend(progress.take_ready(&estimate));
    begun.sort_unstable();
    assert_eq!(begun, [0, 2, 3], "not left to the end");
}
