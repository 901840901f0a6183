//! Benchmarks of decoding a record, of applying one changed record to a
//! configuration of many, and of looking up a workspace. Also prints the memory
//! of a configuration.

use std::{fs, hint::black_box};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahub_core::{
    config::ConfigState,
    ids::{RevisionNumber, WorkspaceId},
    protocol::FeedEntry,
    records::{Record, ValueDigest},
};

const WORKSPACES: [u64; 5] = [10, 100, 1_000, 10_000, 16_000];
/// Page size of the machines that the benchmark runs on.
const PAGE_BYTES: u64 = 4_096;
const PIPELINE: &str = include_str!("../../../examples/records/survey.toml");

fn workspace_entry(number: u64, generation: u64) -> FeedEntry {
    let text = format!(
        "record = \"workspace\"\nschema = 1\nid = \"workspace-{number}\"\n\
         generation = {generation}\nrate = \"50 /s\"\nburst = 100\nweight = 2\n\
         secret_sha256 = \"{number:064x}\"\n"
    );
    let digest = ValueDigest::of(text.as_bytes());
    FeedEntry {
        key: format!("workspaces/workspace-{number}/{generation}-{digest}"),
        revision: RevisionNumber::new(generation * 1_000_000 + number),
        value: Some(text.into_bytes()),
    }
}

fn filled_state(count: u64) -> ConfigState {
    let mut state = ConfigState::new();
    for number in 0..count {
        state.apply(&workspace_entry(number, 1));
    }
    state
}

fn bench_decode(criterion: &mut Criterion) {
    criterion.bench_function("config/decode_pipeline", |bencher| {
        bencher.iter(|| Record::decode("key", black_box(PIPELINE.as_bytes())));
    });
}

/// Applies a change while a request still uses the previous snapshot.
fn bench_apply(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config/apply_one");
    for count in WORKSPACES {
        let mut state = filled_state(count);
        let mut previous = state.snapshot();
        let mut generation = 1;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                generation += 1;
                // The publisher also deletes the previous generation.
                let mut old = workspace_entry(count / 2, generation - 1);
                old.value = None;
                old.revision = RevisionNumber::new(generation * 1_000_000);
                state.apply(&workspace_entry(count / 2, generation));
                state.apply(&old);
                previous = state.snapshot();
            });
        });
        black_box(&previous);
    }
    group.finish();
}

fn bench_lookup(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config/workspace_lookup");
    for count in WORKSPACES {
        let snapshot = filled_state(count).snapshot();
        let id = WorkspaceId::new(&format!("workspace-{}", count / 2)).expect("an id");
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| snapshot.workspace(black_box(&id)).is_some());
        });
    }
    group.finish();
}

/// Prints the resident memory of a [`ConfigState`] for each workspace.
fn print_memory(_: &mut Criterion) {
    // All states stay allocated, so that none reuses memory that another has freed.
    let mut states = Vec::new();
    for count in WORKSPACES {
        let before = resident_bytes();
        states.push(filled_state(count));
        let added = resident_bytes().saturating_sub(before);
        println!("config/memory/{count}: {} B per workspace", added / count);
    }
    black_box(&states);
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

criterion_group!(
    benches,
    print_memory,
    bench_decode,
    bench_apply,
    bench_lookup
);
criterion_main!(benches);
