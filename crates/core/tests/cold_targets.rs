//! Until when targets are cold, by their records, after an evacuation and by what
//! other nodes know.

mod target_fixture;

use std::sync::Arc;

use target_fixture::{at, record};
use verbenahub_core::{
    clock::TimeSpan,
    ids::{EraNumber, NodeId, StoreRevision},
    targets::{ColdNotice, ColdTargets, EffectiveLimit, OwnerTenure, RequestLimit, TargetRecord},
};

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::ZERO, number)
}

fn cold_record(run: u64, number: u64, cold_left: u64) -> Arc<TargetRecord> {
    let record = TargetRecord::clone(&record("t1", Some(run)));
    Arc::new(TargetRecord {
        revision: revision(number),
        cold_left: TimeSpan::from_millis(cold_left),
        write_number: None,
        ..record
    })
}

/// Guards against a target that counts as warm too early, or as cold again each time
/// that a known record is read.
#[test]
fn coldness_counts_from_when_a_revision_was_learned() {
    let mut targets = ColdTargets::default();
    let left = |targets: &ColdTargets, record: &TargetRecord, now: u64| {
        targets.cold_left(record, at(now)).as_millis()
    };
    let first = cold_record(1, 5, 3_000);
    assert!(targets.record(&first, at(100)));
    assert!(!targets.record(&first, at(2_000)));
    assert_eq!(left(&targets, &first, 2_000), 1_100);
    // A later record of the run replaces the earlier one, also by a shorter time.
    let later = cold_record(1, 6, 500);
    assert!(targets.record(&later, at(2_000)));
    assert!(!targets.record(&first, at(2_100)));
    assert_eq!(left(&targets, &later, 2_200), 300);
    assert_eq!(left(&targets, &later, 2_500), 0);
    assert!(!targets.record(&later, at(9_000)));
    assert_eq!(left(&targets, &later, 9_000), 0);
    // A new run has nothing of the former one.
    assert!(targets.record(&cold_record(1, 7, 3_000), at(9_000)));
    let restarted = cold_record(2, 8, 0);
    targets.record(&restarted, at(9_100));
    assert_eq!(left(&targets, &restarted, 9_100), 0);
    assert!(targets.record(&cold_record(2, 9, 700), at(9_200)));
    assert_eq!(left(&targets, &restarted, 9_200), 700);
}

/// Guards against targets of a reopened zone that count as warm, and against a record
/// that states less than what is assumed.
#[test]
fn target_is_cold_after_an_evacuation_unless_its_record_says_longer() {
    let mut targets = ColdTargets::default();
    let run = cold_record(1, 5, 0);
    let span = TimeSpan::from_secs(3);
    assert!(!targets.record(&run, at(0)));
    targets.assume(&run, span, revision(6), at(1_000));
    assert_eq!(targets.cold_left(&run, at(1_000)), span);
    targets.record(&cold_record(1, 7, 500), at(1_100));
    assert_eq!(targets.cold_left(&run, at(1_100)).as_millis(), 2_900);
    targets.record(&cold_record(1, 8, 5_000), at(1_100));
    assert_eq!(targets.cold_left(&run, at(1_100)).as_millis(), 5_000);
    // The end may be known before the record.
    let mut early = ColdTargets::default();
    let cold = cold_record(1, 5, 4_000);
    early.assume(&cold, span, revision(6), at(0));
    assert!(early.record(&cold, at(0)));
    assert_eq!(early.cold_left(&cold, at(0)).as_millis(), 4_000);
    let changes = targets.take_changes(at(1_100));
    assert_eq!((changes.len(), targets.cold_count(at(1_100))), (1, 1));
    assert!(targets.take_changes(at(1_200)).is_empty());
    let changes = targets.take_changes(at(6_100));
    assert!(changes.len() == 1 && changes[0].left.is_zero());
}

/// Guards against an owner that does not limit a target that it believes to be warm,
/// and against a restarted node that makes warm targets cold for all others.
#[test]
fn another_node_is_believed_only_if_it_knows_a_later_revision() {
    let run = cold_record(1, 5, 3_000);
    let mut asking = ColdTargets::default();
    asking.record(&run, at(0));
    let notice = asking.notice_of(&run, at(1_000)).expect("a cold target");
    assert_eq!(notice.left.as_millis(), 2_000);
    let mut owner = ColdTargets::default();
    let known = cold_record(1, 4, 0);
    owner.record(&known, at(0));
    owner.merge(&known, notice, at(100));
    assert_eq!(owner.cold_left(&known, at(100)).as_millis(), 2_000);
    // The owner knows the revision since long ago.
    let mut owner = ColdTargets::default();
    owner.record(&run, at(0));
    owner.merge(&run, notice, at(60_000));
    assert!(owner.cold_left(&run, at(60_000)).is_zero());
    assert_eq!(asking.notice_of(&run, at(3_000)), None);
    let warm = cold_record(1, 9, 0);
    let older = ColdNotice {
        revision: revision(8),
        ..notice
    };
    owner.merge(&warm, older, at(60_000));
    assert!(owner.cold_left(&warm, at(60_000)).is_zero());
}

/// Guards against a target that gets more than the lower of its limits.
#[test]
fn lower_one_of_two_limits_holds() {
    let limit = |text: &str| text.parse::<RequestLimit>().expect("a valid limit");
    let span = TimeSpan::from_secs(1);
    let combine = |named: Option<&str>, cold: Option<&str>| {
        let pair = |text: Option<&str>| text.map(|text| (limit(text), span));
        EffectiveLimit::combine(pair(named), pair(cold))
    };
    for (named, cold, lower) in [
        (Some("2"), Some("15"), "2"),
        (Some("40"), Some("15"), "15"),
        (None, Some("15"), "15"),
        (Some("2"), None, "2"),
    ] {
        let combined = combine(named, cold).expect("a limit");
        assert_eq!(combined.limit, limit(lower));
        assert_eq!(combined.cold_left.is_zero(), cold.is_none());
    }
    assert_eq!(combine(None, None), None);
}

/// Guards against a node that grants a whole limit while another one may still do so:
/// after a change of owners, after it stood still, and after a partition.
#[test]
fn change_of_owners_is_noticed_for_as_long_as_others_may_not_know() {
    let node = |name: &str| NodeId::new(name).expect("a valid node identifier");
    let mut tenure = OwnerTenure::default();
    let mut observe = |owners: &[&str], is_connected: bool, now: u64| {
        let owners: Vec<NodeId> = owners.iter().map(|name| node(name)).collect();
        tenure.observe(&owners, is_connected, at(now));
        tenure.is_disturbed(at(now))
    };
    let mut settle = |owners: &[&str], from: u64| {
        let disturbed = (0..4).map(|round| observe(owners, true, from + round * 1_000));
        let disturbed: Vec<bool> = disturbed.collect();
        assert_eq!(disturbed, [true, true, true, false], "from {from}");
    };
    settle(&["a"], 0);
    // Other owners, then a gap in which changes may have been missed.
    settle(&["b"], 4_000);
    settle(&["b"], 11_000);
    assert!(!observe(&["b", "c"], true, 15_000));
    assert!(!observe(&["b"], true, 16_000));
    assert!(observe(&["b", "d"], true, 17_000));
    assert!(observe(&["b", "d"], true, 19_000));
    assert!(!observe(&["b", "d"], true, 20_000));
    assert!(observe(&["b", "d"], false, 22_000));
}
