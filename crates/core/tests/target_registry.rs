//! Targets while the registry is away, comes back and forgets.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, RevisionNumber, TargetId, ZoneName},
    targets::{RegistryChange, StoreContact, TargetRecord, TargetRegistry, TargetState},
};

const SETTLED: bool = true;
const UNSETTLED: bool = false;

fn id(name: &str) -> TargetId {
    TargetId::new(name).expect("an id")
}

fn revision(number: u64) -> RevisionNumber {
    RevisionNumber::new(number)
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
    let mut contact = StoreContact::default();
    assert!(!contact.is_current(at(0)));
    contact.note_answer(at(100));
    assert!(contact.is_settled(at(100)));
    assert!(contact.note_failure(at(1_000)));
    assert!(!contact.note_failure(at(1_500)));
    assert!(!contact.is_settled(at(60_000)), "the outage goes on");
    assert_eq!(contact.age(at(2_000)), None);
    let outage = contact.note_answer(at(5_000));
    assert_eq!(outage, Some(TimeSpan::from_millis(4_000)));
    assert!(!contact.is_settled(at(7_000)), "targets may come back");
    assert!(contact.is_settled(at(7_300)));
}

#[test]
fn what_is_held_counts_as_current_for_a_while_only() {
    let mut contact = StoreContact::default();
    contact.note_answer(at(1_000));
    assert!(contact.is_current(at(4_000)));
    assert!(!contact.is_current(at(5_000)));
    contact.note_confirmation(TimeSpan::from_millis(1_000), at(6_000));
    assert!(contact.is_current(at(8_000)));
    assert!(
        !contact.is_current(at(8_600)),
        "counted from the store's answer"
    );
    contact.note_confirmation(TimeSpan::from_millis(5_000), at(8_000));
    assert!(
        contact.is_current(at(8_000)),
        "older news takes nothing back"
    );
    contact.note_pause();
    assert!(!contact.is_current(at(8_000)));
}
