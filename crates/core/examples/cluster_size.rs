//! Measures membership and dissemination at one cluster size, on a simulated
//! network: bytes, processor time, reads from the platform, and the time until a
//! change reaches the last node.
//!
//! `cargo run --release --example cluster_size -- <nodes> [head bytes] [zone]`
//! runs all measurements; with `zone`, only the start and the loss of a zone.
//! `cargo run --release --example cluster_size -- state <nodes>` measures the
//! memory of one node's state.

use std::{env, fs, time::Instant};

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    feed::FeedKind,
    ids::RevisionNumber,
    protocol::VmState,
};

#[path = "../tests/fake_net/mod.rs"]
mod fake_net;

use self::fake_net::FakeNet;

const NODES_PER_ZONE: usize = 154;
const MAX_ZONES: usize = 13;
const RECORDS: u64 = 100;
const RECORD_BYTES: usize = 700;
const MAX_DELAY_MS: u64 = 40;
const DEFAULT_HEAD_BYTES: u64 = 160;
const SEED: u64 = 42;
const CHANGES: u64 = 10;
const TARGETS_PER_NODE: usize = 5;
const RECORDS_PER_NODE: usize = 8;
const LIST_ENTRY_BYTES: usize = 220;
const PAGE_BYTES: u64 = 4_096;
/// Number of nodes that are checked for having detected the loss of a zone.
const SAMPLED_NODES: usize = 40;
/// Maximum time to wait until the loss of a zone is detected.
const MAX_DETECTION_SECONDS: u64 = 180;
/// Time per node that member records get to spread after the first start.
const SETTLE_MS_PER_NODE: u64 = 100;
/// Number of configuration changes in a day of the whole fleet.
const CONFIG_CHANGES_PER_DAY: u64 = 12_000;
/// Number of changes of membership list entries in a day of the whole fleet.
const LIST_CHANGES_PER_DAY: u64 = 10_200;
/// Number of VM restarts in a day of the whole fleet.
const RESTARTS_PER_DAY: u64 = 3_550;
const DAY_SECONDS: u64 = 86_400;

fn main() {
    let mut arguments = env::args().skip(1).peekable();
    if arguments.next_if(|text| text == "state").is_some() {
        let count = arguments
            .next()
            .map_or(100, |text| text.parse().expect("a number of nodes"));
        return measure_state(count);
    }
    let count = arguments
        .next()
        .map_or(100, |text| text.parse().expect("a number of nodes"));
    let head = arguments.next().map_or(DEFAULT_HEAD_BYTES, |text| {
        text.parse().expect("a number of bytes")
    });
    let zones = (count / NODES_PER_ZONE).clamp(3, MAX_ZONES);
    println!("{count} nodes, {zones} zones, {head} bytes of HTTP head per message");
    let mut net = settle(count, zones, head);
    if arguments.next().is_some_and(|text| text == "zone") {
        return measure_zone(&mut net, zones);
    }
    measure_steady(&mut net);
    measure_ordinary_day(&mut net);
    measure_propagation(&mut net);
    measure_single_reader(&mut net);
    measure_burst(&mut net);
    measure_outage(&mut net);
    measure_zone(&mut net, zones);
    measure_restart(&mut net);
}

/// Measures the memory of one node's state. The membership list has `count` nodes
/// and five times as many targets; the configuration has eight records per node.
fn measure_state(count: usize) {
    let mut net = FakeNet::new(1, 1, SEED);
    let targets = count * TARGETS_PER_NODE;
    let records = count * RECORDS_PER_NODE;
    for index in 1..=count {
        net.list_node(index, VmState::Live);
    }
    for index in 0..targets {
        let key = format!("vms/target-{index:05}");
        let value = Some(vec![b'x'; LIST_ENTRY_BYTES]);
        net.service(FeedKind::Vms).publish(&key, value);
    }
    for name in 0..records as u64 {
        net.publish_config(name, RECORD_BYTES);
    }
    let before = resident_bytes();
    net.run_for(TimeSpan::from_secs(2));
    let stored = net.nodes[0].machine.replica(FeedKind::Config).len();
    let bytes = resident_bytes().saturating_sub(before);
    println!(
        "state of one node: {count} nodes, {targets} targets, {stored} records: {} KiB resident",
        bytes / 1_024
    );
}

/// Returns the resident memory of this process in bytes, as reported by the
/// operating system.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

fn settle(count: usize, zones: usize, head: u64) -> FakeNet {
    let mut net = FakeNet::new(count, zones, SEED);
    net.delay_ms = MAX_DELAY_MS;
    net.head_bytes = head;
    net.list_nodes();
    for name in 0..RECORDS {
        net.publish_config(name, RECORD_BYTES);
    }
    report_restart(&mut net, "first start");
    report_traffic(&mut net, "first minute", 60, |_, _| {});
    net.run_for(TimeSpan::from_millis(count as u64 * SETTLE_MS_PER_NODE));
    net
}

fn measure_steady(net: &mut FakeNet) {
    report_traffic(net, "steady", 60, |_, _| {});
    let mut ages: Vec<u64> = net.confirmation_ages(FeedKind::Vms);
    ages.sort_unstable();
    println!(
        "  age of the last confirmation: median {} ms, largest {} ms",
        ages[ages.len() / 2],
        ages[ages.len() - 1]
    );
}

/// Measures traffic while changes and restarts happen at the rates of an ordinary
/// day.
fn measure_ordinary_day(net: &mut FakeNet) {
    report_traffic(net, "ordinary day", 240, |net, second| {
        let count = net.nodes.len() as u64;
        if is_due(second, CONFIG_CHANGES_PER_DAY) {
            net.publish_config(second % RECORDS, RECORD_BYTES);
        }
        if is_due(second, LIST_CHANGES_PER_DAY) {
            let node = usize::try_from(second * 7 % count).expect("a small index");
            net.list_node(node, VmState::Live);
        }
        if is_due(second, RESTARTS_PER_DAY) {
            let node = usize::try_from(second * 11 % count).expect("a small index");
            net.restart(node);
        }
    });
}

fn is_due(second: u64, per_day: u64) -> bool {
    second * per_day / DAY_SECONDS != (second + 1) * per_day / DAY_SECONDS
}

fn measure_propagation(net: &mut FakeNet) {
    net.measured = false;
    let mut times = Vec::new();
    for name in 0..CHANGES {
        net.publish_config(name, RECORD_BYTES);
        times.push(time_to_agree(net));
        net.run_for(TimeSpan::from_secs(2));
    }
    print_times("time until a change reaches the last node", times);
}

fn measure_single_reader(net: &mut FakeNet) {
    let mut times = Vec::new();
    for name in 0..CHANGES {
        let before = net.versions(FeedKind::Config)[0].revision;
        net.publish_config(name, RECORD_BYTES);
        while count_newer(net, before) == 0 {
            net.run_for(TimeSpan::from_millis(1));
        }
        net.set_platform_down(true);
        times.push(time_to_agree(net));
        net.set_platform_down(false);
        net.run_for(TimeSpan::from_secs(10));
    }
    print_times(
        "the same, if the service stops after one node has read the change",
        times,
    );
}

/// Returns the number of nodes whose configuration is newer than a revision.
fn count_newer(net: &FakeNet, before: RevisionNumber) -> usize {
    let versions = net.versions(FeedKind::Config);
    versions
        .iter()
        .filter(|version| version.revision > before)
        .count()
}

fn measure_burst(net: &mut FakeNet) {
    let start = second_of(net.now);
    report_traffic(
        net,
        "10 s with a burst of 100 changes in the first second",
        10,
        |net, second| {
            for name in 0..100 {
                if second == 0 {
                    net.publish_config(name, RECORD_BYTES);
                    net.run_for(TimeSpan::from_millis(10));
                }
            }
        },
    );
    println!("  peak calls/s: {}", net.services[0].peak(start));
}

fn measure_outage(net: &mut FakeNet) {
    net.set_platform_down(true);
    net.run_for(TimeSpan::from_secs(60));
    let down = second_of(net.now);
    let calls = net.services[0].total(down - 10, down);
    net.publish_config(1, RECORD_BYTES);
    net.set_platform_down(false);
    let time = time_to_agree(net);
    net.run_for(TimeSpan::from_secs(5));
    println!(
        "platform down for 60 s: {} calls/s at the end; after recovery: peak {} calls/s, all nodes agree after {} ms",
        calls / 10,
        net.services[0].peak(down),
        time.as_millis()
    );
    println!("  all nodes ready at the end: {}", net.all_ready());
}

/// Measures how soon the other zones detect that all nodes of a zone have crashed,
/// and how soon the nodes are ready after a restart.
fn measure_zone(net: &mut FakeNet, zones: usize) {
    let count = net.nodes.len();
    let lost: Vec<usize> = (0..count).step_by(zones).collect();
    for index in &lost {
        net.kill(*index);
    }
    let remaining = count - lost.len();
    let started_at = net.now;
    let limit = TimeSpan::from_secs(MAX_DETECTION_SECONDS);
    net.reset_counts();
    while net.now.since(started_at) < limit && !sample_sees_live(net, remaining) {
        net.run_for(TimeSpan::from_secs(1));
    }
    let span = net.now.since(started_at);
    net.measured = false;
    let bytes: u64 = net.nodes.iter().map(|node| node.bytes).sum();
    println!(
        "loss of a zone: detected by all sampled nodes {} after {} s, {} B/s per node",
        sample_sees_live(net, remaining),
        span.as_secs_ceil(),
        bytes / remaining as u64 / span.as_secs_ceil(),
    );
    let start = second_of(net.now);
    for index in lost {
        net.restart(index);
    }
    let ready = net.run_until(TimeSpan::from_secs(60), FakeNet::all_ready);
    net.run_for(TimeSpan::from_secs(2));
    println!(
        "restart of a zone: all nodes ready after {} ms, peak {} calls/s",
        ready.map_or(0, TimeSpan::as_millis),
        net.services[0].peak(start)
    );
}

/// Whether each sampled node that runs counts `live` live nodes.
fn sample_sees_live(net: &mut FakeNet, live: usize) -> bool {
    let is_running = |index: &usize| net.nodes[*index].running;
    let sample: Vec<usize> = (0..net.nodes.len())
        .filter(is_running)
        .take(SAMPLED_NODES)
        .collect();
    sample
        .into_iter()
        .all(|index| net.live_count(index) == live)
}

fn measure_restart(net: &mut FakeNet) {
    for index in 0..net.nodes.len() {
        net.restart(index);
    }
    report_restart(net, "restart of all nodes at once");
}

fn report_restart(net: &mut FakeNet, title: &str) {
    let start = second_of(net.now);
    let started_at = net.now;
    let ready = net.run_until(TimeSpan::from_secs(60), FakeNet::all_ready);
    let agreed = net.run_until(TimeSpan::from_secs(60), |net| {
        net.agree(FeedKind::Vms) && net.agree(FeedKind::Config)
    });
    println!(
        "{title}: all nodes ready after {} ms, agreed {} after {} ms; peak calls/s: config {}, list {}",
        ready.map_or(0, TimeSpan::as_millis),
        agreed.is_some(),
        net.now.since(started_at).as_millis(),
        net.services[0].peak(start),
        net.services[1].peak(start)
    );
}

fn time_to_agree(net: &mut FakeNet) -> TimeSpan {
    net.run_until(TimeSpan::from_secs(60), |net| net.agree(FeedKind::Config))
        .unwrap_or(TimeSpan::MAX)
}

fn print_times(title: &str, mut times: Vec<TimeSpan>) {
    times.sort_unstable();
    println!(
        "{title}: median {} ms, maximum {} ms of {}",
        times[times.len() / 2].as_millis(),
        times[times.len() - 1].as_millis(),
        times.len()
    );
}

#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
fn report_traffic<Step>(net: &mut FakeNet, title: &str, seconds: u64, step: Step)
where
    Step: Fn(&mut FakeNet, u64),
{
    net.reset_counts();
    let start = second_of(net.now);
    let wall_clock = Instant::now();
    let end = net.now + TimeSpan::from_secs(seconds);
    for second in 0..seconds {
        step(net, second);
        let second_end = end - TimeSpan::from_secs(seconds - second - 1);
        net.run_for(net.now.until(second_end));
    }
    net.measured = false;
    let node_seconds = net.nodes.len() as f64 * seconds as f64;
    let bytes: u64 = net.nodes.iter().map(|node| node.bytes).sum();
    let messages: u64 = net.nodes.iter().map(|node| node.messages).sum();
    let busy_seconds: f64 = net.nodes.iter().map(|node| node.busy.as_secs_f64()).sum();
    let peak_bytes = net.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
    let calls =
        |feed: usize| net.services[feed].total(start, start + seconds) as f64 / seconds as f64;
    println!(
        "{title}: {:.0} B/s per node (busiest node {:.0}), {:.2} messages/s, {:.1} us/s in the state machine, reads: config {:.1}/s, list {:.1}/s ({:.0} s of wall clock time)",
        bytes as f64 / node_seconds,
        peak_bytes as f64 / seconds as f64,
        messages as f64 / node_seconds,
        busy_seconds / node_seconds * 1e6,
        calls(0),
        calls(1),
        wall_clock.elapsed().as_secs_f64()
    );
}

fn second_of(now: ClockTime) -> u64 {
    now.since(fake_net::start()).as_millis() / 1_000
}
