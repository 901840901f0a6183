//! Targets while the registry is away, comes back and forgets.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    targets::{RegistryChange, StoreConnectivity, TargetRecord, TargetRegistry, TargetState},
};

const SETTLED: bool = true;
const UNSETTLED: bool = false;

fn id(name: &str) -> TargetId {
    TargetId::new(name).expect("an id")
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::ZERO, number)
}

fn record(name: &str, number: u64) -> TargetRecord {
    TargetRecord {
        id: id(name),
        service: PoolName::new("pool").expect("a name"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("zone").expect("a name"),
        slots: 4,
        state: TargetState::Ready,
        started_at: Some(1),
        revision: revision(number),
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

fn ready(registry: &TargetRegistry) -> Vec<String> {
    let pool = PoolName::new("pool").expect("a name");
    let records = registry.ready(&pool);
    records.map(|record| record.id.to_string()).collect()
}

fn held() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    registry.apply(vec![put("a", 1), put("b", 2)], revision(2), SETTLED);
    registry
}

#[test]
fn removal_is_in_force_at_once_while_the_contact_is_settled() {
    let mut registry = held();
    assert!(registry.apply(vec![removed("a", 3)], revision(3), SETTLED));
    assert_eq!(ready(&registry), ["b"]);
    assert!(!registry.is_ready(&record("a", 1)));
}

#[test]
fn record_that_lapsed_in_an_outage_counts_until_the_contact_settles() {
    let mut registry = held();
    registry.apply(vec![removed("a", 3)], revision(3), UNSETTLED);
    assert_eq!(ready(&registry), ["a", "b"]);
    registry.apply(vec![put("a", 4)], revision(4), UNSETTLED);
    assert_eq!(registry.expire(), []);
    registry.apply(vec![removed("b", 5)], revision(5), UNSETTLED);
    assert_eq!(registry.expire(), [id("b")]);
    assert_eq!(ready(&registry), ["a"]);
}

#[test]
fn target_that_announced_its_end_does_not_come_back() {
    let mut registry = held();
    let draining = TargetRecord {
        state: TargetState::Draining,
        ..record("a", 3)
    };
    registry.apply(vec![RegistryChange::Put(draining)], revision(3), SETTLED);
    assert_eq!(ready(&registry), ["b"]);
    registry.apply(vec![removed("a", 4)], revision(4), UNSETTLED);
    assert!(registry.get(&id("a")).is_none());
}

#[test]
fn older_news_changes_nothing() {
    let mut registry = held();
    assert!(!registry.apply(vec![removed("b", 1)], revision(1), SETTLED));
    assert!(!registry.replace(vec![record("a", 1)], revision(1), SETTLED));
    assert_eq!(ready(&registry), ["a", "b"]);
    assert_eq!(registry.revision(), revision(2));
}

#[test]
fn listing_replaces_what_it_does_not_name() {
    let mut registry = held();
    assert!(registry.replace(vec![record("b", 2)], revision(9), SETTLED));
    assert_eq!(ready(&registry), ["b"]);
}

#[test]
fn address_of_another_run_is_not_the_same_target() {
    let mut registry = held();
    let restarted = TargetRecord {
        started_at: Some(2),
        ..record("a", 3)
    };
    registry.apply(vec![RegistryChange::Put(restarted)], revision(3), SETTLED);
    assert!(!registry.is_ready(&record("a", 1)));
}

#[test]
fn follower_ends_with_the_same_targets_by_changes() {
    let mut reader = held();
    let mut follower = held();
    let steps = [
        vec![put("c", 3)],
        vec![removed("a", 4), put("a", 5)],
        vec![removed("b", 6)],
        vec![removed("c", 7), put("d", 8)],
    ];
    for step in steps {
        let last = match step.last().expect("a change") {
            RegistryChange::Put(record) => record.revision,
            RegistryChange::Removed { revision, .. } => *revision,
        };
        reader.apply(step, last, SETTLED);
        let changes = reader.changes_since(follower.revision());
        follower.apply(changes.expect("known"), reader.revision(), SETTLED);
        assert_eq!(ready(&follower), ready(&reader));
    }
    assert_eq!(ready(&follower), ["a", "d"]);
}

#[test]
fn follower_hears_of_records_that_are_missing() {
    let mut reader = held();
    reader.apply(vec![removed("a", 3)], revision(3), UNSETTLED);
    let mut follower = held();
    let changes = reader.changes_since(follower.revision()).expect("known");
    follower.apply(changes, reader.revision(), UNSETTLED);
    assert_eq!(ready(&follower), ["a", "b"]);
    assert_eq!(follower.expire(), [id("a")]);
}

#[test]
fn follower_that_has_missed_too_much_needs_a_listing() {
    let mut reader = held();
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
fn contact_settles_some_time_after_an_outage() {
    let mut contact = StoreConnectivity::default();
    assert!(!contact.is_current(at(0)));
    contact.record_answer(at(100));
    assert!(contact.is_settled(at(100)));
    assert!(contact.record_failure(at(1_000)));
    assert!(!contact.record_failure(at(1_500)));
    assert!(!contact.is_settled(at(60_000)), "the outage goes on");
    assert_eq!(contact.data_age(at(2_000)), None);
    let outage = contact.record_answer(at(5_000));
    assert_eq!(outage, Some(TimeSpan::from_millis(4_000)));
    assert!(!contact.is_settled(at(7_000)), "targets may come back");
    assert!(contact.is_settled(at(7_300)));
}

#[test]
fn what_is_held_counts_as_current_for_a_while_only() {
    let mut contact = StoreConnectivity::default();
    contact.record_answer(at(1_000));
    assert!(contact.is_current(at(4_000)));
    assert!(!contact.is_current(at(5_000)));
    contact.record_confirmation(TimeSpan::from_millis(1_000), at(6_000));
    assert!(contact.is_current(at(8_000)));
    assert!(
        !contact.is_current(at(8_600)),
        "counted from the store's answer"
    );
    contact.record_confirmation(TimeSpan::from_millis(5_000), at(8_000));
    assert!(
        contact.is_current(at(8_000)),
        "older news takes nothing back"
    );
    contact.record_pause();
    assert!(!contact.is_current(at(8_000)));
}

/// A record of an era, under a revision of that era.
fn record_of(name: &str, era: u64, number: u64) -> TargetRecord {
    TargetRecord {
        revision: StoreRevision::new(EraNumber::new(era), number),
        ..record(name, number)
    }
}

fn era(number: u64, revision: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::new(number), revision)
}

#[test]
fn listing_of_a_new_era_replaces_what_is_held_at_higher_revisions() {
    let mut registry = held();
    registry.apply(vec![put("c", 90)], revision(90), SETTLED);
    let listed = vec![record_of("a", 1, 1), record_of("d", 1, 4)];
    assert!(registry.replace(listed, era(1, 4), SETTLED));
    assert_eq!(ready(&registry), ["a", "d"]);
    assert_eq!(registry.revision(), era(1, 4));
    assert_eq!(
        registry.changes_since(revision(90)),
        None,
        "no changes across eras"
    );
}

#[test]
fn news_of_an_era_that_is_over_changes_nothing() {
    let mut registry = held();
    registry.replace(vec![record_of("a", 1, 1)], era(1, 1), SETTLED);
    assert!(!registry.apply(vec![put("late", 95)], revision(95), SETTLED));
    assert!(!registry.apply(vec![removed("a", 96)], revision(96), SETTLED));
    assert!(!registry.replace(vec![record("b", 97)], revision(97), SETTLED));
    assert_eq!(ready(&registry), ["a"]);
}

#[test]
fn run_that_left_comes_back_only_by_what_it_writes_in_the_new_era() {
    let mut registry = held();
    registry.apply(vec![removed("a", 3)], revision(3), SETTLED);
    let copied = vec![record_of("a", 1, 1), record_of("b", 1, 2)];
    registry.replace(copied, era(1, 2), SETTLED);
    assert_eq!(ready(&registry), ["b"], "only the copy has it");
    let written = RegistryChange::Put(record_of("a", 1, 3));
    registry.apply(vec![written], era(1, 3), SETTLED);
    assert_eq!(ready(&registry), ["a", "b"], "it writes again, so it lives");
}

#[test]
fn run_that_leaves_and_an_older_run_do_not_come_back_with_the_copy() {
    let mut registry = held();
    let leaving = TargetRecord {
        state: TargetState::Draining,
        ..record("a", 3)
    };
    let restarted = TargetRecord {
        started_at: Some(2),
        ..record("b", 4)
    };
    let changes = [leaving, restarted].map(RegistryChange::Put);
    registry.apply(changes.into(), revision(4), SETTLED);
    for _ in 0..2 {
        let copied = vec![record_of("a", 1, 1), record_of("b", 1, 2)];
        registry.replace(copied, era(1, 2), SETTLED);
        assert_eq!(ready(&registry), ["b"]);
        assert_eq!(registry.get(&id("b")).expect("held").started_at, Some(2));
    }
}

/// The store of a history of writes and restores, with what is true.
#[derive(Clone, Debug, Default)]
struct ModelStore {
    era: u64,
    revision: u64,
    records: std::collections::BTreeMap<String, TargetRecord>,
    copy: Option<(u64, std::collections::BTreeMap<String, TargetRecord>)>,
}

impl ModelStore {
    fn write(&mut self, name: &str, started_at: u64) {
        self.revision += 1;
        let record = TargetRecord {
            started_at: Some(started_at),
            ..record_of(name, self.era, self.revision)
        };
        self.records.insert(name.to_owned(), record);
    }

    fn list(&self) -> (Vec<TargetRecord>, StoreRevision) {
        let records = self.records.values().cloned().collect();
        (records, era(self.era, self.revision))
    }
}

#[test]
fn all_nodes_agree_after_any_history_of_restores_and_nothing_gone_is_used() {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = ModelStore::default();
        let mut nodes = vec![TargetRegistry::default(); 4];
        // What lives, with its run; runs that each node has seen leave.
        let mut living: std::collections::BTreeMap<&str, u64> = NAMES.map(|name| (name, 1)).into();
        let mut seen_gone: Vec<Vec<(String, u64)>> = vec![Vec::new(); nodes.len()];
        let mut runs = 1;
        // Whether the store is back and not all that lives has written yet.
        let mut is_returning = false;
        for name in NAMES {
            store.write(name, 1);
        }
        for _ in 0..60 {
            let name = NAMES[rng.usize(..NAMES.len())];
            let node = rng.usize(..nodes.len());
            match rng.u32(0..8) {
                0 => {
                    living.remove(name);
                    store.revision += 1;
                    store.records.remove(name);
                }
                1 if !living.contains_key(name) => {
                    runs += 1;
                    living.insert(name, runs);
                    store.write(name, runs);
                }
                2 => store.copy = Some((store.revision, store.records.clone())),
                3 => {
                    if let Some((revision, mut records)) = store.copy.take() {
                        store.era += 1;
                        store.revision = revision;
                        // The copy's items keep their revisions.
                        for record in records.values_mut() {
                            record.revision.era = EraNumber::new(store.era);
                        }
                        store.records = records;
                        is_returning = true;
                    }
                }
                // What lives writes again.
                4 => {
                    for (name, run) in &living {
                        store.write(name, *run);
                    }
                    is_returning = false;
                }
                // A node reads the store, another one hears from it.
                5 | 6 => {
                    let before: Vec<(String, u64)> = runs_of(&nodes[node]);
                    let (records, revision) = store.list();
                    // A node that sees a new era gives targets time to write.
                    let is_settled = nodes[node].revision().era == revision.era;
                    nodes[node].replace(records, revision, is_settled && !is_returning);
                    let after = runs_of(&nodes[node]);
                    let gone = before.into_iter().filter(|run| !after.contains(run));
                    seen_gone[node].extend(gone);
                }
                _ => {
                    let other = rng.usize(..nodes.len());
                    if nodes[node].revision() > nodes[other].revision() {
                        let listing = nodes[node].listing().cloned().collect();
                        let revision = nodes[node].revision();
                        let before = runs_of(&nodes[other]);
                        nodes[other].replace(listing, revision, UNSETTLED);
                        let after = runs_of(&nodes[other]);
                        let gone = before.into_iter().filter(|run| !after.contains(run));
                        seen_gone[other].extend(gone);
                    }
                }
            }
            for (node, gone) in nodes.iter().zip(&seen_gone) {
                for run in runs_of(node) {
                    let lives = living.get(run.0.as_str()) == Some(&run.1);
                    let is_back = gone.contains(&run) && !lives;
                    assert!(!is_back, "seed {seed}: {run:?} is back");
                }
            }
        }
        // In the end all that lives has written, what is gone has lapsed.
        store
            .records
            .retain(|name, _| living.contains_key(name.as_str()));
        for (name, run) in &living {
            store.write(name, *run);
        }
        let wanted: Vec<(String, u64)> = living
            .iter()
            .map(|(name, run)| ((*name).to_owned(), *run))
            .collect();
        for node in &mut nodes {
            let (records, revision) = store.list();
            node.replace(records, revision, SETTLED);
            node.expire();
            assert_eq!(runs_of(node), wanted, "seed {seed}");
        }
    }
}

fn runs_of(registry: &TargetRegistry) -> Vec<(String, u64)> {
    let records = registry.records();
    let runs = records.map(|record| (record.id.to_string(), record.started_at.expect("a run")));
    runs.collect()
}
