//! Evacuations by the order of the store's revisions, as news arrives late, twice and
//! out of order.

use verbenahub_core::{
    ids::{EraNumber, StoreRevision, ZoneName},
    targets::{EvacuatedZones, ZoneNotice},
};

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::new(era), number)
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

fn notice(name: &str, is_evacuated: bool, revision: StoreRevision) -> ZoneNotice {
    ZoneNotice {
        zone: zone(name),
        is_evacuated,
        revision,
    }
}

/// Guards against a late notice that reopens an evacuated zone, or evacuates it again.
#[test]
fn latest_revision_counts_in_any_order_of_arrival() {
    let start = notice("a", true, revision(0, 10));
    let end = notice("a", false, revision(0, 20));
    let again = notice("a", true, revision(0, 30));
    let mut zones = EvacuatedZones::default();
    assert_eq!(zones.merge(vec![end.clone()]), []);
    assert_eq!(zones.merge(vec![start.clone()]), []);
    assert!(!zones.contains(&zone("a")));
    assert_eq!(zones.merge(vec![again.clone()]).len(), 1);
    assert_eq!(zones.merge(vec![again, end, start]), []);
    assert!(zones.contains(&zone("a")) && !zones.contains(&zone("b")));
    assert_eq!(zones.len(), 1);
}

/// Guards against an evacuation whose end fell into a gap of the watch and that
/// never ends.
#[test]
fn listing_without_the_key_ends_an_evacuation() {
    let mut zones = EvacuatedZones::default();
    zones.merge(vec![notice("a", true, revision(0, 10))]);
    zones.merge(vec![notice("b", true, revision(0, 12))]);
    let listed = vec![notice("b", true, revision(0, 12))];
    let changes = zones.replace(listed, revision(0, 40));
    assert_eq!(changes, [notice("a", false, revision(0, 10))]);
    // Another node that has seen the end itself learns nothing from it.
    let mut other = EvacuatedZones::default();
    other.merge(vec![notice("a", false, revision(0, 15))]);
    assert_eq!(
        other.merge(zones.notices())[..1],
        [notice("b", true, revision(0, 12))]
    );
    // Nor does a notice of the start that arrives late begin the evacuation again.
    assert_eq!(zones.merge(vec![notice("a", true, revision(0, 10))]), []);
    // A listing that was read before the evacuation began says nothing about it.
    zones.merge(vec![notice("c", true, revision(0, 50))]);
    assert_eq!(zones.replace(Vec::new(), revision(0, 45)).len(), 1);
    assert!(zones.contains(&zone("c")) && !zones.contains(&zone("b")));
}

/// Guards against a restore of the store that reopens a zone, since the backup is
/// older than the operator's request.
#[test]
fn restored_store_ends_no_evacuation_until_the_operator_does() {
    let mut zones = EvacuatedZones::default();
    zones.merge(vec![notice("a", true, revision(0, 10))]);
    assert_eq!(zones.replace(Vec::new(), revision(1, 8)), []);
    assert!(zones.contains(&zone("a")));
    zones.merge(vec![notice("a", true, revision(1, 9))]);
    let end = notice("a", false, revision(1, 10));
    assert_eq!(zones.merge(vec![end.clone()]), [end]);
    assert!(zones.is_empty());
}

/// Guards against a node that joins and doesn't learn what others know.
#[test]
fn notices_bring_another_node_up_to_date() {
    let mut zones = EvacuatedZones::default();
    zones.merge(vec![
        notice("a", true, revision(0, 10)),
        notice("b", true, revision(0, 11)),
        notice("b", false, revision(0, 12)),
    ]);
    let mut other = EvacuatedZones::default();
    other.merge(vec![notice("b", true, revision(0, 11))]);
    assert_eq!(other.merge(zones.notices()).len(), 2);
    assert_eq!(other.notices(), zones.notices());
}
