//! Tests that the records in force are a pure function of the latest entries,
//! regardless of the order in which entries arrive.

use std::fmt::Write;

use assert_matches::assert_matches;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    config::{ApplyOutcome, ConfigSnapshot, ConfigState},
    ids::{ModelName, PipelineName, RevisionNumber, WorkspaceId},
    protocol::FeedEntry,
    records::{RecordId, ValueDigest},
};

const NAMES: [&str; 3] = ["one", "two", "three"];

/// One change of a key by a publisher.
#[derive(Clone, Debug)]
struct PublishedChange {
    name: usize,
    generation: u64,
    variant: u32,
    kind: ChangeKind,
}

#[derive(Clone, Copy, Debug)]
enum ChangeKind {
    Valid,
    Retired,
    Invalid,
    Future,
    WrongDigest,
    WrongName,
    Deleted,
}

fn model_text(name: &str, generation: u64, replicas: u32, retired: bool) -> String {
    format!(
        "record = \"model\"\nschema = 1\nname = \"{name}\"\ngeneration = {generation}\n\
         version = \"a\"\nreplicas = {replicas}\npool = \"engines\"\nretired = {retired}\n"
    )
}

impl PublishedChange {
    fn entry(&self, revision: u64) -> FeedEntry {
        let name = NAMES[self.name];
        let replicas = self.variant + 1;
        let retired = matches!(self.kind, ChangeKind::Retired);
        let mut text = model_text(name, self.generation, replicas, retired);
        match self.kind {
            ChangeKind::Invalid => text.push_str("colour = 1\n"),
            ChangeKind::Future => text = text.replace("schema = 1", "schema = 9"),
            ChangeKind::WrongName => text = text.replace(name, "other"),
            _ => {}
        }
        let digest = ValueDigest::of(text.as_bytes());
        if matches!(self.kind, ChangeKind::WrongDigest) {
            text.push('#');
        }
        let deleted = matches!(self.kind, ChangeKind::Deleted);
        FeedEntry {
            key: format!("models/{name}/{}-{digest}", self.generation),
            revision: RevisionNumber::new(revision),
            value: (!deleted).then(|| text.into_bytes()),
        }
    }
}

fn change_strategy() -> impl Strategy<Value = PublishedChange> {
    let kind = prop_oneof![
        4 => Just(ChangeKind::Valid),
        1 => Just(ChangeKind::Retired),
        1 => Just(ChangeKind::Invalid),
        1 => Just(ChangeKind::Future),
        1 => Just(ChangeKind::WrongDigest),
        1 => Just(ChangeKind::WrongName),
        2 => Just(ChangeKind::Deleted),
    ];
    (0..NAMES.len(), 1..5_u64, 0..2_u32, kind).prop_map(|(name, generation, variant, kind)| {
        PublishedChange {
            name,
            generation,
            variant,
            kind,
        }
    })
}

fn fixed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns the entries of changes that are published in the given order. A
/// deleted key may be published again.
fn publish(changes: &[PublishedChange]) -> Vec<FeedEntry> {
    let numbered = (1..).zip(changes);
    numbered
        .map(|(revision, change)| change.entry(revision))
        .collect()
}

fn describe(snapshot: &ConfigSnapshot) -> String {
    let mut text = String::new();
    for model in snapshot.models() {
        writeln!(text, "{:?} at {}", model.record, model.revision).expect("a string");
    }
    for name in NAMES {
        let id = RecordId::Model(ModelName::new(name).expect("a name"));
        writeln!(text, "{id} {:?}", snapshot.revision_of(&id)).expect("a string");
    }
    writeln!(text, "{}", snapshot.findings()).expect("a string");
    text
}

fn apply_all<'a, I>(entries: I) -> ConfigState
where
    I: IntoIterator<Item = &'a FeedEntry>,
{
    let mut state = ConfigState::new();
    for entry in entries {
        state.apply(entry);
    }
    state
}

/// Returns the latest entry of each key. These alone decide what is in force.
fn latest_of_each_key(entries: &[FeedEntry]) -> Vec<FeedEntry> {
    let is_latest = |entry: &&FeedEntry| {
        entries
            .iter()
            .all(|other| other.key != entry.key || other.revision <= entry.revision)
    };
    entries.iter().filter(is_latest).cloned().collect()
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn order_of_arrival_does_not_matter(
        changes in vec(change_strategy(), 1..24),
        order in any::<prop::sample::Index>(),
        seed in any::<u64>(),
    ) {
        let entries = publish(&changes);
        let expected = describe(&apply_all(&entries).snapshot());
        let mut shuffled = entries.clone();
        let mut state = seed;
        for index in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let other = usize::try_from(state >> 33).expect("31 bits") % (index + 1);
            shuffled.swap(index, other);
        }
        prop_assert_eq!(&describe(&apply_all(&shuffled).snapshot()), &expected);
        // Some entries first, then all of them again: repeated entries have no effect.
        let cut = order.index(shuffled.len());
        let repeated = shuffled[cut..].iter().chain(&entries);
        prop_assert_eq!(&describe(&apply_all(repeated).snapshot()), &expected);
        // A node that has seen only the latest entry of each key has the same records
        // in force.
        let latest = latest_of_each_key(&entries);
        prop_assert_eq!(&describe(&apply_all(&latest).snapshot()), &expected);
    }

    #[test]
    fn generation_in_force_never_falls(changes in vec(change_strategy(), 1..24)) {
        let mut state = ConfigState::new();
        let mut highest = [0; NAMES.len()];
        for (revision, change) in (1..).zip(&changes) {
            if matches!(change.kind, ChangeKind::WrongDigest) {
                // A publisher never changes the value of a key.
                continue;
            }
            state.apply(&change.entry(revision));
            for model in state.snapshot().models() {
                let name = model.record.name.as_str();
                let index = NAMES.iter().position(|known| *known == name).expect("known");
                let generation = model.record.generation.get();
                prop_assert!(generation >= highest[index]);
                highest[index] = generation;
            }
        }
    }

    #[test]
    fn arbitrary_entries_never_panic(
        keys in vec("(models|pipelines|workspaces|x)?/?[a-z]{0,3}/[0-9]{0,3}-?[0-9a-f]{0,9}", 1..6),
        value in vec(any::<u8>(), 0..64),
    ) {
        let mut state = ConfigState::new();
        for (revision, key) in (1..).zip(keys) {
            let entry = FeedEntry {
                key,
                revision: RevisionNumber::new(revision),
                value: Some(value.clone()),
            };
            state.apply(&entry);
        }
        prop_assert!(state.snapshot().models().is_empty());
        prop_assert!(!state.snapshot().findings().is_empty());
    }
}

fn valid(generation: u64, revision: u64) -> FeedEntry {
    change(generation, revision, ChangeKind::Valid)
}

fn change(generation: u64, revision: u64, kind: ChangeKind) -> FeedEntry {
    let change = PublishedChange {
        name: 0,
        generation,
        variant: 0,
        kind,
    };
    change.entry(revision)
}

fn generation_in_force(state: &ConfigState) -> Option<u64> {
    let name = ModelName::new(NAMES[0]).expect("a name");
    let snapshot = state.snapshot();
    snapshot.model(&name).map(|model| model.generation.get())
}

#[test]
fn invalid_generation_leaves_the_older_in_force() {
    let mut state = apply_all(&[valid(4, 10)]);
    state.apply(&change(5, 11, ChangeKind::Invalid));
    assert_eq!(generation_in_force(&state), Some(4));
    assert_eq!(state.snapshot().findings().len(), 1);
    state.apply(&change(6, 12, ChangeKind::Future));
    assert_eq!(generation_in_force(&state), Some(4));
    assert!(state.snapshot().findings().has_future_schema());
}

#[test]
fn deleted_generation_masks_lower_ones() {
    let mut state = apply_all(&[valid(4, 10), valid(5, 11)]);
    let deleted = FeedEntry {
        value: None,
        ..valid(5, 12)
    };
    assert_eq!(state.apply(&deleted), ApplyOutcome::Applied);
    assert_eq!(generation_in_force(&state), None);
    assert_eq!(state.apply(&valid(5, 11)), ApplyOutcome::Ignored);
    state.apply(&valid(6, 13));
    assert_eq!(generation_in_force(&state), Some(6));
    // Entries of masked generations that arrive late stay masked and have no findings.
    assert_eq!(state.apply(&valid(4, 14)), ApplyOutcome::Ignored);
    let invalid = change(4, 15, ChangeKind::Invalid);
    assert_eq!(state.apply(&invalid), ApplyOutcome::Ignored);
    assert!(state.snapshot().findings().is_empty());
}

#[test]
fn deleted_key_that_is_published_again_is_in_force() {
    let (first, second) = (valid(4, 10), valid(5, 11));
    let deleted = FeedEntry {
        value: None,
        ..valid(5, 12)
    };
    let republished = valid(5, 13);
    let saw_deletion = apply_all([&first, &second, &deleted, &republished]);
    let missed_deletion = apply_all([&first, &republished]);
    for state in [&saw_deletion, &missed_deletion] {
        assert_eq!(generation_in_force(state), Some(5));
    }
    // If the value no longer matches its key, the previous generation is in force on
    // both nodes.
    let mismatched = FeedEntry {
        value: Some(b"#".to_vec()),
        ..valid(5, 14)
    };
    for mut state in [saw_deletion, missed_deletion] {
        assert_eq!(state.apply(&mismatched), ApplyOutcome::Applied);
        assert_eq!(generation_in_force(&state), Some(4));
    }
}

#[test]
fn retired_generation_removes_the_record() {
    let mut state = apply_all(&[valid(4, 10)]);
    let before = state.snapshot();
    state.apply(&change(5, 11, ChangeKind::Retired));
    assert_eq!(generation_in_force(&state), None);
    let id = RecordId::Model(ModelName::new(NAMES[0]).expect("a name"));
    let revision = state.snapshot().revision_of(&id);
    assert_eq!(revision, Some(RevisionNumber::new(11)));
    // A request that began earlier keeps its snapshot.
    assert_matches!(before.models().as_slice(), [model] if model.record.generation.get() == 4);
}

#[test]
fn later_of_two_records_of_one_generation_wins() {
    let mut competing = PublishedChange {
        name: 0,
        generation: 4,
        variant: 1,
        kind: ChangeKind::Valid,
    };
    let (early, late) = (valid(4, 10), competing.entry(11));
    for order in [[&early, &late], [&late, &early]] {
        let snapshot = apply_all(order).snapshot();
        assert_matches!(snapshot.models().as_slice(), [model] if model.record.replicas == 2);
    }
    competing.kind = ChangeKind::Deleted;
    let snapshot = apply_all([&early, &late, &competing.entry(12)]).snapshot();
    assert_matches!(snapshot.models().as_slice(), [model] if model.record.replicas == 1);
}

#[test]
fn invalid_entries_do_not_affect_other_records() {
    let workspace = "record = \"workspace\"\nschema = 1\nid = \"w\"\ngeneration = 1\n\
                     secret_sha256 = \"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\"\n\
                     rate = \"5 /s\"\nburst = 5\n";
    let digest = ValueDigest::of(workspace.as_bytes());
    let entry = FeedEntry {
        key: format!("workspaces/w/1-{digest}"),
        revision: RevisionNumber::new(1),
        value: Some(workspace.as_bytes().to_vec()),
    };
    let mut state = apply_all(&[entry]);
    state.apply(&change(1, 2, ChangeKind::Invalid));
    state.apply(&FeedEntry {
        key: "nonsense".to_owned(),
        revision: RevisionNumber::new(3),
        value: Some(Vec::new()),
    });
    let snapshot = state.snapshot();
    assert!(
        snapshot
            .workspace(&WorkspaceId::new("w").expect("an id"))
            .is_some()
    );
    assert!(
        snapshot
            .pipeline(&PipelineName::new("w").expect("a name"))
            .is_none()
    );
    assert_eq!(snapshot.findings().len(), 2);
}
