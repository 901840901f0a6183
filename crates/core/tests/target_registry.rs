//! Known targets while the registry is unavailable, after an outage and after a
//! restore from a backup.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    targets::{
        CallFailure, RegistryChange, StoreConnectivity, TargetRecord, TargetRegistry, TargetState,
    },
};

const RENEWAL_INTERVAL: TimeSpan = TimeSpan::from_millis(1_200);
const SETTLED: bool = true;
const UNSETTLED: bool = false;

fn id(name: &str) -> TargetId {
    TargetId::new(name).expect("a valid target identifier")
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::ZERO, number)
}

fn record(name: &str, number: u64) -> TargetRecord {
    TargetRecord {
        id: id(name),
        service: PoolName::new("pool").expect("a valid pool name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: ZoneName::new("zone").expect("a valid zone name"),
        slots: 4,
        state: TargetState::Ready,
        started_at: Some(1),
        revision: revision(number),
        cold_left: TimeSpan::ZERO,
        write_number: None,
    }
}

fn removed(name: &str, number: u64) -> RegistryChange {
    RegistryChange::Removed {
        id: id(name),
        revision: revision(number),
    }
}

fn put(name: &str, number: u64) -> RegistryChange {
    RegistryChange::Put(record(name, number))
}

fn ready_targets(registry: &TargetRegistry) -> Vec<String> {
    let pool = PoolName::new("pool").expect("a valid pool name");
    let records = registry.ready(&pool);
    records.map(|record| record.id.to_string()).collect()
}

fn registry_with_two_targets() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    registry.apply(vec![put("a", 1), put("b", 2)], revision(2), SETTLED);
    registry
}

/// Guards against a change of coldness that other nodes don't hear of, against one that
/// disturbs what does not depend on it, and against records of nodes of the previous
/// version, which lack the field.
#[test]
fn change_of_coldness_alone_is_passed_on_and_is_no_other_change() {
    let mut registry = registry_with_two_targets();
    let cold = TargetRecord {
        cold_left: TimeSpan::from_secs(3),
        ..record("a", 3)
    };
    let change = RegistryChange::Put(cold);
    assert!(!registry.apply(vec![change.clone()], revision(3), SETTLED));
    let changes = registry.changes_since(revision(2));
    assert_eq!(changes, Some(vec![change]));
    let text = serde_json::to_value(record("a", 1)).expect("an encoded record");
    let mut fields: Vec<_> = [
        "id",
        "service",
        "address",
        "zone",
        "slots",
        "state",
        "started_at",
        "revision",
    ]
    .map(|field| text[field].clone())
    .into();
    let previous: TargetRecord = serde_json::from_value(fields.clone().into()).expect("a record");
    assert_eq!(previous, record("a", 1));
    fields.push(3_000.into());
    let current: TargetRecord = serde_json::from_value(fields.into()).expect("a record");
    assert_eq!(current.cold_left, TimeSpan::from_secs(3));
}

#[test]
fn removal_takes_effect_at_once_while_the_connection_is_settled() {
    let mut registry = registry_with_two_targets();
    assert!(registry.apply(vec![removed("a", 3)], revision(3), SETTLED));
    assert_eq!(ready_targets(&registry), ["b"]);
    assert!(!registry.is_ready(&record("a", 1)));
}

#[test]
fn record_that_expired_in_an_outage_counts_until_the_connection_settles() {
    let mut registry = registry_with_two_targets();
    registry.apply(vec![removed("a", 3)], revision(3), UNSETTLED);
    assert_eq!(ready_targets(&registry), ["a", "b"]);
    registry.apply(vec![put("a", 4)], revision(4), UNSETTLED);
    assert_eq!(registry.expire(), []);
    registry.apply(vec![removed("b", 5)], revision(5), UNSETTLED);
    assert_eq!(registry.expire(), [id("b")]);
    assert_eq!(ready_targets(&registry), ["a"]);
}

#[test]
fn draining_target_is_removed_even_while_the_connection_is_not_settled() {
    let mut registry = registry_with_two_targets();
    let draining = TargetRecord {
        state: TargetState::Draining,
        ..record("a", 3)
    };
    registry.apply(vec![RegistryChange::Put(draining)], revision(3), SETTLED);
    assert_eq!(ready_targets(&registry), ["b"]);
    registry.apply(vec![removed("a", 4)], revision(4), UNSETTLED);
    assert!(registry.get(&id("a")).is_none());
}

/// Guards against work for a target that has left. A node that had stood still answered a
/// long poll with its old targets, and the asking node took one back that it had seen
/// removed since.
#[test]
fn late_changes_do_not_bring_back_a_target_that_was_removed_since() {
    let source = registry_with_two_targets();
    let late = source.changes_since(revision(1)).expect("all changes");
    let mut registry = source.clone();
    registry.apply(vec![removed("b", 3)], revision(3), SETTLED);
    assert_eq!(ready_targets(&registry), ["a"]);
    assert!(!registry.apply(late, source.revision(), SETTLED));
    assert_eq!(ready_targets(&registry), ["a"]);
}

#[test]
fn changes_and_listings_of_older_revisions_are_ignored() {
    let mut registry = registry_with_two_targets();
    assert!(!registry.apply(vec![removed("b", 1)], revision(1), SETTLED));
    assert!(!registry.replace(vec![record("a", 1)], revision(1), SETTLED));
    assert_eq!(ready_targets(&registry), ["a", "b"]);
    assert_eq!(registry.revision(), revision(2));
}

#[test]
fn listing_removes_targets_that_it_does_not_contain() {
    let mut registry = registry_with_two_targets();
    assert!(registry.replace(vec![record("b", 2)], revision(9), SETTLED));
    assert_eq!(ready_targets(&registry), ["b"]);
}

#[test]
fn record_of_an_earlier_run_is_not_ready() {
    let mut registry = registry_with_two_targets();
    let restarted = TargetRecord {
        started_at: Some(2),
        ..record("a", 3)
    };
    registry.apply(vec![RegistryChange::Put(restarted)], revision(3), SETTLED);
    assert!(!registry.is_ready(&record("a", 1)));
}

#[test]
fn follower_has_the_same_targets_after_each_set_of_changes() {
    let mut reader = registry_with_two_targets();
    let mut follower = registry_with_two_targets();
    let steps = [
        vec![put("c", 3)],
        vec![removed("a", 4), put("a", 5)],
        vec![removed("b", 6)],
        vec![removed("c", 7), put("d", 8)],
    ];
    for step in steps {
        let last = match step.last().expect("each step has a change") {
            RegistryChange::Put(record) => record.revision,
            RegistryChange::Removed { revision, .. } => *revision,
        };
        reader.apply(step, last, SETTLED);
        let changes = reader.changes_since(follower.revision());
        follower.apply(
            changes.expect("the changes are known"),
            reader.revision(),
            SETTLED,
        );
        assert_eq!(ready_targets(&follower), ready_targets(&reader));
    }
    assert_eq!(ready_targets(&follower), ["a", "d"]);
}

#[test]
fn changes_for_a_follower_include_missing_records() {
    let mut reader = registry_with_two_targets();
    reader.apply(vec![removed("a", 3)], revision(3), UNSETTLED);
    let mut follower = registry_with_two_targets();
    let changes = reader
        .changes_since(follower.revision())
        .expect("the changes are known");
    follower.apply(changes, reader.revision(), UNSETTLED);
    assert_eq!(ready_targets(&follower), ["a", "b"]);
    assert_eq!(follower.expire(), [id("a")]);
}

#[test]
fn follower_that_has_missed_too_many_changes_needs_a_listing() {
    let mut reader = registry_with_two_targets();
    for number in 3..700 {
        let change = if number % 2 == 1 {
            put("x", number)
        } else {
            removed("x", number)
        };
        reader.apply(vec![change], revision(number), SETTLED);
    }
    assert_eq!(reader.changes_since(revision(2)), None);
    assert!(reader.changes_since(revision(690)).is_some());
    assert_eq!(TargetRegistry::default().changes_since(revision(0)), None);
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn connection_settles_some_time_after_an_outage() {
    let mut connectivity = StoreConnectivity::new(RENEWAL_INTERVAL);
    assert!(!connectivity.is_current(at(0)));
    connectivity.record_answer(at(100), at(100));
    assert!(connectivity.is_settled(at(100)));
    assert!(connectivity.record_failure(CallFailure::Unavailable, at(1_000)));
    assert!(!connectivity.record_failure(CallFailure::Unavailable, at(1_500)));
    assert!(!connectivity.is_settled(at(60_000)), "the outage continues");
    assert_eq!(connectivity.data_age(at(2_000)), None);
    let outage = connectivity.record_answer(at(5_000), at(5_000));
    assert_eq!(outage, Some(TimeSpan::from_millis(4_000)));
    assert!(
        !connectivity.is_settled(at(7_000)),
        "targets may register again"
    );
    assert!(!connectivity.is_settled(at(7_300)), "the data may be older");
    connectivity.record_answer(at(7_300), at(7_300));
    assert!(connectivity.is_settled(at(7_300)));
}

/// Guards against the loss of live targets at a node that followed others during an
/// outage, begins to read as the store returns, and so never saw a call fail.
#[test]
fn node_that_begins_to_read_takes_over_the_doubt_of_its_source() {
    let mut connectivity = StoreConnectivity::new(RENEWAL_INTERVAL);
    connectivity.record_source(true, at(1_000));
    assert!(connectivity.is_settled(at(1_000)));
    connectivity.record_source(false, at(4_000));
    assert!(!connectivity.is_settled(at(4_000)));
    connectivity.record_answer(at(5_000), at(5_010));
    assert!(
        !connectivity.is_settled(at(5_010)),
        "records may be missing"
    );
    connectivity.record_source(true, at(5_100));
    assert!(!connectivity.is_settled(at(5_100)), "the node reads itself");
    connectivity.record_answer(at(7_310), at(7_320));
    assert!(connectivity.is_settled(at(7_320)));
}

/// Guards against a removal that is put off at a node that begins to read in calm.
#[test]
fn node_that_begins_to_read_without_doubt_is_settled_at_once() {
    let mut connectivity = StoreConnectivity::new(RENEWAL_INTERVAL);
    connectivity.record_source(false, at(1_000));
    connectivity.record_source(true, at(2_000));
    connectivity.record_answer(at(2_500), at(2_510));
    assert!(connectivity.is_settled(at(2_510)));
    connectivity.record_read_stop(at(3_000));
    assert!(connectivity.is_settled(at(3_000)));
}

#[test]
fn data_counts_as_current_for_a_limited_time() {
    let mut connectivity = StoreConnectivity::new(RENEWAL_INTERVAL);
    connectivity.record_answer(at(1_000), at(1_000));
    assert!(connectivity.is_current(at(4_000)));
    assert!(!connectivity.is_current(at(5_000)));
    connectivity.record_confirmation(TimeSpan::from_millis(1_000), at(6_000));
    assert!(connectivity.is_current(at(8_000)));
    assert!(
        !connectivity.is_current(at(8_600)),
        "the age counts from the store's response"
    );
    connectivity.record_confirmation(TimeSpan::from_millis(5_000), at(8_000));
    assert!(
        connectivity.is_current(at(8_000)),
        "an older confirmation does not replace a newer one"
    );
    connectivity.record_pause();
    assert!(!connectivity.is_current(at(8_000)));
}

/// A record with a revision of the given era.
fn record_in_era(name: &str, era: u64, number: u64) -> TargetRecord {
    TargetRecord {
        revision: StoreRevision::new(EraNumber::new(era), number),
        ..record(name, number)
    }
}

fn era_revision(number: u64, revision: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::new(number), revision)
}

#[test]
fn listing_of_a_new_era_replaces_records_of_higher_revisions() {
    let mut registry = registry_with_two_targets();
    registry.apply(vec![put("c", 90)], revision(90), SETTLED);
    let listed = vec![record_in_era("a", 1, 1), record_in_era("d", 1, 4)];
    assert!(registry.replace(listed, era_revision(1, 4), SETTLED));
    assert_eq!(ready_targets(&registry), ["a", "d"]);
    assert_eq!(registry.revision(), era_revision(1, 4));
    assert_eq!(
        registry.changes_since(revision(90)),
        None,
        "changes are not known across eras"
    );
}

#[test]
fn changes_and_listings_of_an_earlier_era_are_ignored() {
    let mut registry = registry_with_two_targets();
    registry.replace(vec![record_in_era("a", 1, 1)], era_revision(1, 1), SETTLED);
    assert!(!registry.apply(vec![put("late", 95)], revision(95), SETTLED));
    assert!(!registry.apply(vec![removed("a", 96)], revision(96), SETTLED));
    assert!(!registry.replace(vec![record("b", 97)], revision(97), SETTLED));
    assert_eq!(ready_targets(&registry), ["a"]);
}

#[test]
fn removed_run_comes_back_only_by_a_write_in_the_new_era() {
    let mut registry = registry_with_two_targets();
    registry.apply(vec![removed("a", 3)], revision(3), SETTLED);
    let restored = vec![record_in_era("a", 1, 1), record_in_era("b", 1, 2)];
    registry.replace(restored, era_revision(1, 2), SETTLED);
    assert_eq!(
        ready_targets(&registry),
        ["b"],
        "a restored record alone does not count"
    );
    let written = RegistryChange::Put(record_in_era("a", 1, 3));
    registry.apply(vec![written], era_revision(1, 3), SETTLED);
    assert_eq!(
        ready_targets(&registry),
        ["a", "b"],
        "the target is live, it has written its record again"
    );
}

#[test]
fn draining_run_and_older_run_do_not_come_back_with_a_backup() {
    let mut registry = registry_with_two_targets();
    let draining = TargetRecord {
        state: TargetState::Draining,
        ..record("a", 3)
    };
    let restarted = TargetRecord {
        started_at: Some(2),
        ..record("b", 4)
    };
    let changes = [draining, restarted].map(RegistryChange::Put);
    registry.apply(changes.into(), revision(4), SETTLED);
    for _ in 0..2 {
        let restored = vec![record_in_era("a", 1, 1), record_in_era("b", 1, 2)];
        registry.replace(restored, era_revision(1, 2), SETTLED);
        assert_eq!(ready_targets(&registry), ["b"]);
        assert_eq!(
            registry
                .get(&id("b"))
                .expect("target b is known")
                .started_at,
            Some(2)
        );
    }
}

/// Simulated store that can be restored from a backup.
#[derive(Clone, Debug, Default)]
struct FakeStore {
    era: u64,
    revision: u64,
    records: std::collections::BTreeMap<String, TargetRecord>,
    /// Revision and records at the time of the backup.
    backup: Option<(u64, std::collections::BTreeMap<String, TargetRecord>)>,
}

impl FakeStore {
    fn write(&mut self, name: &str, started_at: u64) {
        self.revision += 1;
        let record = TargetRecord {
            started_at: Some(started_at),
            ..record_in_era(name, self.era, self.revision)
        };
        self.records.insert(name.to_owned(), record);
    }

    fn list(&self) -> (Vec<TargetRecord>, StoreRevision) {
        let records = self.records.values().cloned().collect();
        (records, era_revision(self.era, self.revision))
    }
}

#[test]
fn all_nodes_agree_after_any_history_of_restores_and_no_removed_run_is_used() {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = FakeStore::default();
        let mut nodes = vec![TargetRegistry::default(); 4];
        // Live targets with their runs, and the runs that each node has dropped.
        let mut live: std::collections::BTreeMap<&str, u64> = NAMES.map(|name| (name, 1)).into();
        let mut dropped: Vec<Vec<(String, u64)>> = vec![Vec::new(); nodes.len()];
        let mut runs = 1;
        // Whether live targets have yet to write their records after a restore.
        let mut is_recovering = false;
        for name in NAMES {
            store.write(name, 1);
        }
        for _ in 0..60 {
            let name = NAMES[rng.usize(..NAMES.len())];
            let node = rng.usize(..nodes.len());
            match rng.u32(0..8) {
                0 => {
                    live.remove(name);
                    store.revision += 1;
                    store.records.remove(name);
                }
                1 if !live.contains_key(name) => {
                    runs += 1;
                    live.insert(name, runs);
                    store.write(name, runs);
                }
                2 => store.backup = Some((store.revision, store.records.clone())),
                3 => {
                    if let Some((revision, mut records)) = store.backup.take() {
                        store.era += 1;
                        store.revision = revision;
                        // Restored records keep their revision numbers.
                        for record in records.values_mut() {
                            record.revision.era = EraNumber::new(store.era);
                        }
                        store.records = records;
                        is_recovering = true;
                    }
                }
                // All live targets write their records again.
                4 => {
                    for (name, run) in &live {
                        store.write(name, *run);
                    }
                    is_recovering = false;
                }
                // A node reads the store. Below, a node gets the listing of another
                // node.
                5 | 6 => {
                    let before: Vec<(String, u64)> = runs_of(&nodes[node]);
                    let (records, revision) = store.list();
                    // A node that sees a new era gives targets time to write their
                    // records.
                    let is_settled = nodes[node].revision().era == revision.era;
                    nodes[node].replace(records, revision, is_settled && !is_recovering);
                    let after = runs_of(&nodes[node]);
                    let newly_dropped = before.into_iter().filter(|run| !after.contains(run));
                    dropped[node].extend(newly_dropped);
                }
                _ => {
                    let other = rng.usize(..nodes.len());
                    if nodes[node].revision() > nodes[other].revision() {
                        let listing = nodes[node].listing().cloned().collect();
                        let revision = nodes[node].revision();
                        let before = runs_of(&nodes[other]);
                        nodes[other].replace(listing, revision, UNSETTLED);
                        let after = runs_of(&nodes[other]);
                        let newly_dropped = before.into_iter().filter(|run| !after.contains(run));
                        dropped[other].extend(newly_dropped);
                    }
                }
            }
            for (node, dropped_runs) in nodes.iter().zip(&dropped) {
                for run in runs_of(node) {
                    let is_live = live.get(run.0.as_str()) == Some(&run.1);
                    let is_back = dropped_runs.contains(&run) && !is_live;
                    assert!(!is_back, "seed {seed}: removed run {run:?} is used again");
                }
            }
        }
        // Finally all live targets have written and the other records have expired.
        store
            .records
            .retain(|name, _| live.contains_key(name.as_str()));
        for (name, run) in &live {
            store.write(name, *run);
        }
        let expected: Vec<(String, u64)> = live
            .iter()
            .map(|(name, run)| ((*name).to_owned(), *run))
            .collect();
        for node in &mut nodes {
            let (records, revision) = store.list();
            node.replace(records, revision, SETTLED);
            node.expire();
            assert_eq!(runs_of(node), expected, "seed {seed}");
        }
    }
}

fn runs_of(registry: &TargetRegistry) -> Vec<(String, u64)> {
    let records = registry.records();
    let runs = records.map(|record| {
        (
            record.id.to_string(),
            record.started_at.expect("the record names its run"),
        )
    });
    runs.collect()
}
