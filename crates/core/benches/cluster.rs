//! Benchmarks of membership and dissemination by number of entries and nodes.

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::{
        ClusterAction, ClusterEvent, ClusterMachine, ClusterSettings, GossipCall, ReplyToken,
        rendezvous,
    },
    feed::{FeedAssembly, FeedKind, FeedLimits, FeedReplica},
    ids::{IncarnationNumber, NodeId, RevisionNumber},
    protocol::{FeedEntry, FeedPage, VmEntry, VmRole, VmState},
};

const SIZES: [u64; 5] = [10, 100, 1_000, 10_000, 16_000];
const NODES: [u64; 4] = [10, 100, 500, 2_000];
const VALUE_BYTES: usize = 700;

fn entry(name: u64, revision: u64, value: Vec<u8>) -> FeedEntry {
    FeedEntry {
        key: format!("workspaces/w{name}/1-00000000"),
        revision: RevisionNumber::new(revision),
        value: Some(value),
    }
}

fn assembly_of(after: u64, entries: Vec<FeedEntry>) -> FeedAssembly {
    let mut assembly = FeedAssembly::new(RevisionNumber::new(after));
    let revision = RevisionNumber::new(after + entries.len() as u64);
    assembly.push_page(&FeedPage {
        revision,
        entries,
        ..FeedPage::default()
    });
    assembly
}

fn replica_of(size: u64) -> FeedReplica {
    let entries = (1..=size).map(|name| entry(name, name, vec![7; VALUE_BYTES]));
    let mut replica = FeedReplica::default();
    replica
        .apply_assembly(&assembly_of(0, entries.collect()))
        .expect("an assembly applies");
    replica
}

/// Applies one changed value to replicas of different sizes.
fn bench_apply(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("feed_apply_one");
    for size in SIZES {
        let mut replica = replica_of(size);
        let mut revision = size;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter_batched(
                || {
                    revision += 1;
                    let changed = entry(revision % size + 1, revision, vec![8; VALUE_BYTES]);
                    assembly_of(revision - 1, vec![changed])
                },
                |assembly| {
                    replica
                        .apply_assembly(&assembly)
                        .expect("an assembly applies")
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

/// Computes the changes after a revision, and the differences between two
/// replicas.
fn bench_compare(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("feed_delta_of_one");
    for size in SIZES {
        let replica = replica_of(size);
        let after = RevisionNumber::new(size - 1);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(replica.delta_after(after, usize::MAX)));
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("feed_list_one_difference");
    for size in SIZES {
        let replica = replica_of(size);
        let mut other = replica.clone();
        let change = assembly_of(size, vec![entry(1, size + 1, vec![9])]);
        other.apply_assembly(&change).expect("an assembly applies");
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(replica.list_differences(other.digests(), 10_000)));
        });
    }
    group.finish();
}

fn node_id(index: u64) -> NodeId {
    NodeId::new(&format!("node-{index:05}")).expect("a name")
}

fn machine_at(index: u64) -> ClusterMachine {
    let settings = ClusterSettings {
        node: node_id(index),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "zone-0".parse().expect("a name"),
        incarnation: IncarnationNumber::new(1),
        seeds: Vec::new(),
        limits: FeedLimits::default(),
        rng_seed: index,
    };
    ClusterMachine::new(settings, ClockTime::ZERO)
}

/// Creates a machine that knows `nodes` other nodes from the membership list.
fn machine_with(nodes: u64) -> ClusterMachine {
    let mut machine = machine_at(0);
    machine.handle(ClusterEvent::Tick, ClockTime::ZERO);
    let entries = (1..=nodes).map(|index| {
        let entry = VmEntry {
            role: VmRole::Node,
            address: ([127, 0, 0, 2], 7_000).into(),
            region: "south".parse().expect("a name"),
            zone: format!("zone-{}", index % 13).parse().expect("a name"),
            state: VmState::Live,
            pool: None,
            models: Vec::new(),
            checks_fence: false,
            capacity: None,
        };
        FeedEntry {
            key: format!("vms/{}", node_id(index)),
            revision: RevisionNumber::new(index),
            value: Some(serde_json::to_vec(&entry).expect("an entry is JSON")),
        }
    });
    let page = FeedPage {
        revision: RevisionNumber::new(nodes),
        entries: entries.collect(),
        ..FeedPage::default()
    };
    let feed = FeedKind::Vms;
    machine.handle(ClusterEvent::FeedRead { feed, page }, ClockTime::ZERO);
    machine
}

/// Returns the probe that a machine sends to its only seed.
fn probe_call() -> Box<GossipCall> {
    let mut caller = machine_with(1);
    let actions = caller.handle(ClusterEvent::Tick, ClockTime::from_millis(100));
    let call = actions.into_iter().find_map(|action| match action {
        ClusterAction::Call { call, .. } => Some(call),
        _ => None,
    });
    let mut call = call.expect("a starting node probes");
    call.from.node = node_id(1);
    call
}

/// Measures a tick of a node that reaches no other node, which is the most
/// expensive one, and the answer to a probe.
fn bench_machine(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("cluster_tick_cut_off");
    for nodes in NODES {
        let mut machine = machine_with(nodes);
        let mut now = ClockTime::ZERO;
        group.bench_function(BenchmarkId::from_parameter(nodes), |bencher| {
            bencher.iter(|| {
                now = now + TimeSpan::from_millis(100);
                black_box(machine.handle(ClusterEvent::Tick, now))
            });
        });
    }
    group.finish();
    let call = probe_call();
    let mut group = criterion.benchmark_group("cluster_answer_probe");
    for nodes in NODES {
        let mut machine = machine_with(nodes);
        group.bench_function(BenchmarkId::from_parameter(nodes), |bencher| {
            bencher.iter_batched(
                || call.clone(),
                |call| {
                    let token = ReplyToken(0);
                    machine.handle(ClusterEvent::Call { token, call }, ClockTime::ZERO)
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn bench_owner(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rendezvous_owner");
    for nodes in NODES {
        let hash = |index| rendezvous::text_hash(node_id(index).as_str());
        let hashes: Vec<u64> = (0..nodes).map(hash).collect();
        let key = rendezvous::text_hash("workspaces/w1");
        group.bench_function(BenchmarkId::from_parameter(nodes), |bencher| {
            bencher.iter(|| black_box(rendezvous::owner(black_box(key), &hashes)));
        });
    }
    group.finish();
}

criterion_group! {
    name = cluster;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = bench_apply, bench_compare, bench_machine, bench_owner
}
criterion_main!(cluster);
