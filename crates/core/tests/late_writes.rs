//! Writes of targets that the store carries out late, after newer ones.

use verbenahub_core::{
    clock::TimeSpan,
    ids::{EraNumber, PoolName, StoreRevision, TargetId, WriteNumber, ZoneName},
    targets::{RegistryChange, TargetRecord, TargetRegistry, TargetState},
};

const SETTLED: bool = true;

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::ZERO, number)
}

/// A write of the run that started at `started_at`, carried out at revision 0.
fn write(started_at: u64, number: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: TargetId::new("a").expect("a valid target identifier"),
        service: PoolName::new("pool").expect("a valid pool name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: ZoneName::new("zone").expect("a valid zone name"),
        slots: 4,
        state,
        started_at: Some(started_at),
        revision: revision(0),
        cold_left: TimeSpan::ZERO,
        write_number: Some(WriteNumber::new(number)),
    }
}

fn at(number: u64, record: &TargetRecord) -> TargetRecord {
    TargetRecord {
        revision: revision(number),
        ..record.clone()
    }
}

/// Carries out writes in this order.
fn carry_out(registry: &mut TargetRegistry, writes: &[&TargetRecord]) {
    for record in writes {
        let next = registry.revision().number.get() + 1;
        let put = RegistryChange::Put(at(next, record));
        registry.apply(vec![put], revision(next), SETTLED);
    }
}

fn remove(registry: &mut TargetRegistry) {
    let next = registry.revision().number.get() + 1;
    let removed = RegistryChange::Removed {
        id: TargetId::new("a").expect("a valid target identifier"),
        revision: revision(next),
    };
    registry.apply(vec![removed], revision(next), SETTLED);
}

fn state(registry: &TargetRegistry) -> Option<TargetState> {
    let id = TargetId::new("a").expect("a valid target identifier");
    registry.get(&id).map(|record| record.state)
}

fn permutations(items: &[usize]) -> Vec<Vec<usize>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (position, item) in items.iter().enumerate() {
        let mut rest = items.to_vec();
        rest.remove(position);
        for mut order in permutations(&rest) {
            order.insert(0, *item);
            all.push(order);
        }
    }
    all
}

/// Guards against work for a target that leaves. Its last heartbeat as ready, carried out
/// after its report that it drains, made it count as ready again.
#[test]
fn late_write_does_not_make_a_draining_target_ready() {
    let ready = write(1, 7, TargetState::Ready);
    let draining = write(1, 8, TargetState::Draining);
    let mut registry = TargetRegistry::default();
    carry_out(&mut registry, &[&ready, &draining, &ready]);
    assert_eq!(state(&registry), Some(TargetState::Draining));

    let mut lister = TargetRegistry::default();
    carry_out(&mut lister, &[&ready, &draining]);
    lister.replace(vec![at(5, &ready)], revision(5), SETTLED);
    assert_eq!(state(&lister), Some(TargetState::Draining), "listing");

    let mut follower = TargetRegistry::default();
    carry_out(&mut follower, &[&ready]);
    let changes = registry.changes_since(follower.revision());
    follower.apply(
        changes.expect("complete changes"),
        registry.revision(),
        SETTLED,
    );
    assert_eq!(state(&follower), Some(TargetState::Draining), "follower");
}

#[test]
fn writes_of_a_run_give_the_same_state_in_any_order() {
    let writes = [
        write(1, 1, TargetState::Ready),
        write(1, 2, TargetState::Ready),
        write(1, 3, TargetState::Ready),
        write(1, 4, TargetState::Draining),
    ];
    for order in permutations(&[0, 1, 2, 3]) {
        let mut registry = TargetRegistry::default();
        for index in &order {
            carry_out(&mut registry, &[&writes[*index]]);
        }
        let last = registry.records().next().expect("a target");
        assert_eq!(last.state, TargetState::Draining, "{order:?}");
        assert_eq!(last.revision, revision(4), "{order:?}");
    }
}

#[test]
fn target_that_withdraws_its_leaving_is_ready_again() {
    let mut registry = TargetRegistry::default();
    let draining = write(1, 8, TargetState::Draining);
    carry_out(
        &mut registry,
        &[&draining, &write(1, 9, TargetState::Ready)],
    );
    assert_eq!(state(&registry), Some(TargetState::Ready));
}

/// Guards against work for a target that has left, whose entry came back with a late write.
#[test]
fn late_write_does_not_bring_back_a_removed_target() {
    let ready = write(1, 7, TargetState::Ready);
    let mut registry = TargetRegistry::default();
    carry_out(&mut registry, &[&write(1, 8, TargetState::Draining)]);
    remove(&mut registry);
    carry_out(&mut registry, &[&ready]);
    assert_eq!(state(&registry), None);
    // A live target whose record had expired.
    carry_out(&mut registry, &[&write(1, 9, TargetState::Ready)]);
    assert_eq!(state(&registry), Some(TargetState::Ready));
}

#[test]
fn new_run_serves_at_once_and_late_writes_of_the_old_one_do_not_replace_it() {
    for started_at in [2, 9] {
        let old = write(5, 70, TargetState::Draining);
        let new = write(started_at, 1, TargetState::Ready);
        let mut registry = TargetRegistry::default();
        carry_out(&mut registry, &[&old, &new]);
        assert_eq!(state(&registry), Some(TargetState::Ready));
        carry_out(&mut registry, &[&write(5, 69, TargetState::Draining)]);
        let known = registry.records().next().expect("a target");
        assert_eq!(known.started_at, Some(started_at));
        assert_eq!(known.state, TargetState::Ready);
    }
}

/// A target that does not say when it started, or that is at another address, may have
/// begun to count anew.
#[test]
fn writes_are_not_compared_across_runs_that_cannot_be_told_apart() {
    let first = TargetRecord {
        started_at: None,
        ..write(1, 8, TargetState::Draining)
    };
    let next = TargetRecord {
        started_at: None,
        ..write(1, 1, TargetState::Ready)
    };
    let mut registry = TargetRegistry::default();
    carry_out(&mut registry, &[&first, &next]);
    assert_eq!(state(&registry), Some(TargetState::Ready), "unknown start");

    let moved = TargetRecord {
        address: "10.0.0.2:80".parse().expect("a valid address"),
        ..write(1, 1, TargetState::Ready)
    };
    let mut registry = TargetRegistry::default();
    carry_out(
        &mut registry,
        &[&write(1, 8, TargetState::Draining), &moved],
    );
    assert_eq!(state(&registry), Some(TargetState::Ready), "other address");
}
