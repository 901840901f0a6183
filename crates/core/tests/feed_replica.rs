//! Property tests of feed replicas: merging, stale reads and repair.

use std::{collections::BTreeMap, sync::Arc};

use assert_matches::assert_matches;
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    feed::{FeedAssembly, FeedError, FeedItem, FeedLimits, FeedReplica},
    ids::RevisionNumber,
    protocol::{FeedEntry, FeedPage},
};

const RNG_SEED: u64 = 0x5eed_f00d;
const PART_BYTES: usize = 64;

fn fixed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(RNG_SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// One change in the history of a feed: a key, and its value or `None` if the key
/// is deleted.
type HistoryStep = (u8, Option<u8>);

fn history_steps() -> impl Strategy<Value = Vec<HistoryStep>> {
    let value = proptest::option::weighted(0.7, any::<u8>());
    vec((0_u8..12, value), 1..60)
}

fn entry_at(revision: usize, step: HistoryStep) -> FeedEntry {
    FeedEntry {
        key: format!("pipelines/{}", step.0),
        revision: RevisionNumber::new(revision as u64),
        value: step.1.map(|byte| vec![byte; 8]),
    }
}

/// Returns the latest entry of each key up to a revision.
fn latest_entries(history: &[HistoryStep], up_to: usize) -> BTreeMap<String, FeedEntry> {
    let steps = history.iter().take(up_to).enumerate();
    steps
        .map(|(index, step)| entry_at(index + 1, *step))
        .map(|entry| (entry.key.clone(), entry))
        .collect()
}

fn changes_page(history: &[HistoryStep], after: usize, up_to: usize) -> FeedPage {
    let mut entries: Vec<FeedEntry> = latest_entries(history, up_to).into_values().collect();
    entries.retain(|entry| entry.revision.get() > after as u64);
    entries.sort_by_key(|entry| entry.revision);
    FeedPage {
        revision: RevisionNumber::new(up_to as u64),
        entries,
        ..FeedPage::default()
    }
}

fn snapshot_page(history: &[HistoryStep], up_to: usize) -> FeedPage {
    let mut page = changes_page(history, 0, up_to);
    page.entries.retain(|entry| entry.value.is_some());
    page.snapshot = true;
    page
}

fn page_of(history: &[HistoryStep], after: usize, up_to: usize, snapshot: bool) -> FeedPage {
    if snapshot {
        snapshot_page(history, up_to)
    } else {
        changes_page(history, after, up_to)
    }
}

fn apply_page(replica: &mut FeedReplica, after: usize, page: &FeedPage) {
    let assembly = assembly_of(after, page);
    replica
        .apply_assembly(&assembly)
        .expect("a complete assembly applies");
}

fn assembly_of(after: usize, page: &FeedPage) -> FeedAssembly {
    let mut assembly = FeedAssembly::new(RevisionNumber::new(after as u64));
    assert!(assembly.push_page(page));
    assembly
}

fn replica_at(history: &[HistoryStep], up_to: usize) -> FeedReplica {
    let mut replica = FeedReplica::new(FeedLimits::default());
    apply_page(&mut replica, 0, &changes_page(history, 0, up_to));
    replica
}

fn replica_with(tombstones: usize) -> FeedReplica {
    FeedReplica::new(FeedLimits {
        tombstones,
        ..FeedLimits::default()
    })
}

fn present_items(replica: &FeedReplica) -> Vec<FeedItem> {
    replica.items().cloned().collect()
}

/// Lets two replicas pull from each other in turn until both are equal. Returns
/// the number of pulls.
fn pulls_until_equal(first: &mut FeedReplica, second: &mut FeedReplica) -> usize {
    for pulls in 1..9 {
        pull_once(first, second);
        if first.version() == second.version() {
            return pulls;
        }
        std::mem::swap(first, second);
    }
    panic!(
        "replicas still differ after 8 pulls: {} and {}",
        first.version(),
        second.version()
    );
}

fn pull_once(replica: &mut FeedReplica, source: &mut FeedReplica) {
    let start = replica.revision();
    let mut delta = source.delta_after(start, PART_BYTES);
    while delta.more {
        let mut next = source.delta_after(delta.cursor(), PART_BYTES);
        next.items.splice(0..0, delta.items);
        delta = next;
    }
    delta.after = start;
    replica.apply_delta(&delta).expect("a delta applies");
    if replica.version() == source.version() {
        return;
    }
    for _ in 0..20 {
        let list = source.list_differences(replica.digests(), 1_000);
        let plan = replica.plan_repair(&list, PART_BYTES);
        let answer = source.answer_fetch(&plan.fetch, PART_BYTES);
        let (items, _) = answer.expect("a fetch is answered");
        let change = replica.apply_repair(&plan, &items);
        if !change.expect("a repair applies").needs_repair || !items.more {
            return;
        }
    }
}

proptest! {
    #![proptest_config(fixed_config())]

    /// Reads of any parts of the history in any order, stale pages and stale
    /// snapshots included, give the state of the newest revision read.
    #[test]
    fn any_order_gives_the_same_state(
        history in history_steps(),
        reads in vec((any::<Index>(), any::<Index>(), any::<bool>()), 0..12),
        tombstones in 0_usize..8,
    ) {
        let mut replica = replica_with(tombstones);
        for (start, up_to, snapshot) in reads {
            let up_to = up_to.index(history.len() + 1);
            let before = replica.version();
            let own_revision = usize::try_from(before.revision.get()).expect("a small number");
            let after = start.index(own_revision + 1);
            apply_page(&mut replica, after, &page_of(&history, after, up_to, snapshot));
            if up_to < own_revision {
                prop_assert_eq!(replica.version(), before);
            }
            let expected = replica_at(&history, own_revision.max(up_to));
            prop_assert_eq!(replica.version(), expected.version());
            prop_assert_eq!(present_items(&replica), present_items(&expected));
        }
    }

    /// No key reverts to an older revision, even if service instances contradict
    /// each other.
    #[test]
    fn no_key_reverts_to_an_older_revision(
        histories in vec(history_steps(), 2),
        reads in vec((0_usize..2, any::<Index>(), any::<bool>()), 1..16),
    ) {
        let mut replica = FeedReplica::default();
        let mut newest: BTreeMap<Arc<str>, FeedItem> = BTreeMap::new();
        for (source, up_to, snapshot) in reads {
            let history = &histories[source];
            let up_to = up_to.index(history.len() + 1);
            let before = replica.revision();
            apply_page(&mut replica, 0, &page_of(history, 0, up_to, snapshot));
            prop_assert!(replica.revision() >= before);
            for item in replica.items() {
                if let Some(previous) = newest.get(&item.key) {
                    prop_assert!(previous.rank() <= item.rank());
                }
                newest.insert(Arc::clone(&item.key), item.clone());
            }
        }
    }

    /// Merging is commutative, associative and idempotent for any entries.
    #[test]
    fn merge_is_a_join(
        items in vec((0_u8..6, 1_usize..30, proptest::option::of(any::<u8>())), 1..24),
        split in any::<Index>(),
        rotation in any::<Index>(),
    ) {
        let page = |part: &[(u8, usize, Option<u8>)]| FeedPage {
            revision: RevisionNumber::new(30),
            entries: part.iter().map(|item| entry_at(item.1, (item.0, item.2))).collect(),
            ..FeedPage::default()
        };
        let mut whole = FeedReplica::default();
        apply_page(&mut whole, 0, &page(&items));
        let mut rotated = items.clone();
        rotated.rotate_left(rotation.index(items.len()));
        let (left, right) = rotated.split_at(split.index(items.len()));
        let mut parts = FeedReplica::default();
        for part in [right, left, right] {
            apply_page(&mut parts, 0, &page(part));
        }
        prop_assert_eq!(parts.version(), whole.version());
        prop_assert_eq!(present_items(&parts), present_items(&whole));
    }

    /// A replica that is behind catches up from a peer in one pull, deletions
    /// included, even if the peer has discarded their tombstones.
    #[test]
    fn one_pull_brings_a_replica_up_to_date(
        history in history_steps(),
        stopped_at in any::<Index>(),
        tombstones in 0_usize..6,
        starts_empty in any::<bool>(),
    ) {
        let stopped_at = stopped_at.index(history.len() + 1);
        let end = history.len();
        let mut source = replica_with(tombstones);
        if !starts_empty {
            apply_page(&mut source, 0, &changes_page(&history, 0, stopped_at));
        }
        apply_page(&mut source, 0, &page_of(&history, 0, end, starts_empty));
        let expected = replica_at(&history, end);
        let mut replica = replica_at(&history, stopped_at);
        let mut without_repair = replica.clone();
        let delta = source.delta_after(without_repair.revision(), usize::MAX);
        without_repair.apply_delta(&delta).expect("a delta applies");
        if without_repair.revision() == source.revision() {
            prop_assert_eq!(without_repair.version(), source.version());
        }
        prop_assert_eq!(pulls_until_equal(&mut replica, &mut source), 1);
        prop_assert_eq!(replica.version(), expected.version());
        prop_assert_eq!(present_items(&replica), present_items(&expected));
    }

    /// Replicas that have read different histories are equal after they have pulled
    /// from each other.
    #[test]
    fn replicas_of_contradicting_reads_converge(
        histories in vec(history_steps(), 2),
        snapshots in vec(any::<bool>(), 2),
        tombstones in 0_usize..6,
    ) {
        let mut replicas: Vec<FeedReplica> = Vec::new();
        for (history, snapshot) in histories.iter().zip(snapshots) {
            let mut replica = replica_with(tombstones);
            apply_page(&mut replica, 0, &page_of(history, 0, history.len(), snapshot));
            replicas.push(replica);
        }
        let (first, second) = replicas.split_at_mut(1);
        pulls_until_equal(&mut first[0], &mut second[0]);
        prop_assert_eq!(present_items(&first[0]), present_items(&second[0]));
    }
}

#[test]
fn changes_after_a_gap_are_rejected() {
    let history = [(1, Some(1)), (2, Some(2)), (3, Some(3))];
    let mut replica = replica_at(&history, 1);
    let before = replica.version();
    let rejection = replica.apply_assembly(&assembly_of(2, &changes_page(&history, 2, 3)));
    assert_matches!(rejection, Err(FeedError::Gap { .. }));
    assert_eq!(replica.version(), before);
}

#[test]
fn a_stale_snapshot_that_lacks_keys_deletes_nothing() {
    let history = [(1, Some(1)), (2, Some(2)), (3, Some(3))];
    let mut replica = replica_at(&history, 3);
    let before = replica.version();
    let mut page = snapshot_page(&history, 2);
    page.entries.clear();
    apply_page(&mut replica, 0, &page);
    assert_eq!(replica.version(), before);
    assert_eq!(replica.floor(), RevisionNumber::ZERO);
}

#[test]
fn an_older_version_stays_until_the_newer_one_arrives() {
    let history = [(1, Some(1)), (2, Some(2)), (1, Some(9))];
    let mut replica = replica_at(&history, 1);
    let mut source = FeedReplica::default();
    apply_page(&mut source, 0, &snapshot_page(&history, 3));
    let list = source.list_differences(replica.digests(), 1_000);
    let plan = replica.plan_repair(&list, PART_BYTES);
    for (limit, revision) in [(0, 1), (PART_BYTES, 3)] {
        let answer = source.answer_fetch(&plan.fetch, limit);
        let (items, _) = answer.expect("a fetch is answered");
        replica
            .apply_repair(&plan, &items)
            .expect("a repair applies");
        let item = replica.get("pipelines/1").expect("the key is present");
        assert_eq!(item.revision, RevisionNumber::new(revision));
    }
}

#[test]
fn oversize_changes_leave_the_replica_as_it_was() {
    let mut replica = FeedReplica::new(FeedLimits {
        total_bytes: 64,
        value_bytes: 16,
        tombstones: 4,
    });
    let page_with = |keys: usize, length: usize| FeedPage {
        revision: RevisionNumber::new(1),
        entries: (0..keys)
            .map(|index| FeedEntry {
                key: format!("models/{index}"),
                revision: RevisionNumber::new(1),
                value: Some(vec![0; length]),
            })
            .collect(),
        ..FeedPage::default()
    };
    let rejection = replica.apply_assembly(&assembly_of(0, &page_with(1, 17)));
    assert_matches!(rejection, Err(FeedError::ValueTooLarge { .. }));
    let rejection = replica.apply_assembly(&assembly_of(0, &page_with(4, 16)));
    assert_matches!(rejection, Err(FeedError::FeedTooLarge { .. }));
    assert_eq!(replica.version(), FeedReplica::default().version());
    apply_page(&mut replica, 0, &page_with(2, 16));
    assert_eq!(replica.len(), 2);
}

#[test]
fn all_pages_of_a_read_are_applied_at_once() {
    let history = [(1, Some(1)), (2, Some(2)), (1, None), (3, Some(3))];
    let mut first = changes_page(&history, 0, 4);
    let mut last = first.clone();
    last.entries = first.entries.split_off(1);
    first.revision = RevisionNumber::new(2);
    first.more = true;
    let mut assembly = FeedAssembly::new(RevisionNumber::ZERO);
    assert!(!assembly.push_page(&first));
    assert_eq!(assembly.cursor(), RevisionNumber::new(2));
    assert!(assembly.push_page(&last));
    let mut replica = FeedReplica::default();
    replica
        .apply_assembly(&assembly)
        .expect("a complete assembly applies");
    assert_eq!(replica.version(), replica_at(&history, 4).version());
}
