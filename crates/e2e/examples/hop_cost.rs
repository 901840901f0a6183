//! Measures what one node adds to a request: latency against direct calls of
//! the same targets, processor time of a request and of a streamed token.
//!
//! Run with `cargo run --release -p verbenahub-e2e --example hop_cost` after
//! `cargo build --release --workspace --bins`.

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use http_types::{Body, Method, Request, Url};
use smol::net::TcpStream;
use verbenahub_e2e::cluster::{ClusterPlan, RunningCluster, TargetPool};

const CALLS: usize = 3_000;
const CONNECTIONS: usize = 16;
const LOAD_CALLS: usize = 1_500;
const CHATS: usize = 200;
const BODY_BYTES: usize = 512;
/// Clock ticks in a second of processor time, as the kernel reports it.
const TICKS_PER_SECOND: f64 = 100.0;

const HOP_RECORD: &str = r#"
record = "pipeline"
schema = 2
name = "hop"
generation = 1
deadline = "4 s"
objective = "attainment"
[limits]
body = "1 MiB"
answer = "1 MiB"
in_flight = 1000
[[stage]]
name = "encode"
kind = "encode"
pool = "encoders"
[[stage]]
name = "find"
kind = "retrieve"
pool = "retrievers"
[[stage]]
name = "rank"
kind = "rerank"
pool = "rerankers"
"#;

const WORKSPACE_RECORD: &str = r#"
record = "workspace"
schema = 1
id = "sealwise"
generation = 2
secret_sha256 = "559e9ed2a04932a1b7607b04de47e1e521c766b2f2fe3b012509aad3599dc933"
rate = "1000000 /s"
burst = 1000000
weight = 4
"#;

fn main() {
    let quick = ["--service-ms", "0", "--jitter", "0", "--slots", "64"];
    let cluster = ClusterPlan::default()
        .nodes(1)
        .replicas(1)
        .settings("threads = 1\n")
        .arguments(TargetPool::Encoders, &quick)
        .arguments(TargetPool::Retrievers, &quick)
        .arguments(TargetPool::Rerankers, &quick)
        .arguments(TargetPool::Engines, &["--token-ms", "0", "--slots", "64"])
        .start();
    let _ = cluster.config.publish(HOP_RECORD);
    let _ = cluster.config.publish(WORKSPACE_RECORD);
    thread::sleep(Duration::from_secs(3));
    let node = cluster.nodes[0].public;
    let direct = time_direct(&cluster);
    let through = time_calls(node, CALLS, &|| pipeline_call(node, "hop"));
    println!("three direct calls: {}", quantiles(&direct));
    println!("through one node:   {}", quantiles(&through));
    measure_load(node, "hop", LOAD_CALLS, 1.0, "requests");
    measure_load(node, "chat", CHATS, 64.0, "tokens");
}

/// Times of three direct calls one after the other, one to each pool.
fn time_direct(cluster: &RunningCluster) -> Vec<Duration> {
    let pools = [
        TargetPool::Encoders,
        TargetPool::Retrievers,
        TargetPool::Rerankers,
    ];
    let mut sums = vec![Duration::ZERO; CALLS];
    for pool in pools {
        let target = cluster.pool(pool).next().expect("a target").address();
        let times = time_calls(target, CALLS, &|| run_call(target));
        for (sum, time) in sums.iter_mut().zip(times) {
            *sum += time;
        }
    }
    sums
}

/// Times of calls on one connection, one after the other.
fn time_calls<Make>(address: SocketAddr, count: usize, make: &Make) -> Vec<Duration>
where
    Make: Fn() -> Request,
{
    smol::block_on(async {
        let stream = TcpStream::connect(address).await.expect("connection");
        stream.set_nodelay(true).expect("no delay");
        let mut times = Vec::with_capacity(count);
        for _ in 0..count {
            let started = Instant::now();
            let mut response = async_h1::connect(stream.clone(), make())
                .await
                .expect("answer");
            let body = response.body_bytes().await.expect("body");
            assert!(
                response.status().is_success(),
                "{}",
                String::from_utf8_lossy(&body)
            );
            times.push(started.elapsed());
        }
        times
    })
}

/// Calls a pipeline over many connections and prints what a core of the node
/// would do in a second.
fn measure_load(node: SocketAddr, pipeline: &'static str, calls: usize, units: f64, what: &str) {
    let before = node_seconds();
    let started = Instant::now();
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            thread::spawn(move || {
                time_calls(node, calls / CONNECTIONS, &|| pipeline_call(node, pipeline)).len()
            })
        })
        .collect();
    let done: usize = callers
        .into_iter()
        .map(|caller| caller.join().expect("caller"))
        .sum();
    let used = node_seconds() - before;
    let count = f64::from(u32::try_from(done).expect("few calls")) * units;
    let wall = started.elapsed().as_secs_f64();
    println!(
        "{pipeline}: {:.0} {what}/s over {CONNECTIONS} connections, {:.0} {what} for a second of a core, {:.1} us each",
        count / wall,
        count / used,
        used / count * 1e6
    );
}

fn pipeline_call(node: SocketAddr, pipeline: &str) -> Request {
    let mut call = post(node, &format!("/v1/pipelines/{pipeline}"));
    call.insert_header("authorization", "Bearer sealwise:clear-pane-secret");
    call
}

fn run_call(target: SocketAddr) -> Request {
    let mut call = post(target, "/v1/run");
    call.insert_header("verbenahub-request", "hop");
    call.insert_header("verbenahub-stage", "hop");
    call.insert_header("verbenahub-attempt", "1");
    call.insert_header("verbenahub-workspace", "sealwise");
    call.insert_header("verbenahub-deadline-ms", "4000");
    call.insert_header("verbenahub-priority", "5");
    call
}

fn post(address: SocketAddr, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("url");
    let mut call = Request::new(Method::Post, url);
    call.set_body(Body::from_bytes(vec![b'x'; BODY_BYTES]));
    call
}

/// Processor time of the daemon that this process started, in seconds.
fn node_seconds() -> f64 {
    let own = std::process::id().to_string();
    let processes = fs::read_dir("/proc").expect("processes");
    let stats = processes.filter_map(|entry| {
        let text = fs::read_to_string(entry.ok()?.path().join("stat")).ok()?;
        let (name, rest) = text.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let mine = name.ends_with("(verbenahubd") && fields.get(1) == Some(&own.as_str());
        let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
        mine.then_some(ticks(11)? + ticks(12)?)
    });
    stats.sum::<f64>() / TICKS_PER_SECOND
}

fn quantiles(times: &[Duration]) -> String {
    let mut sorted = times.to_vec();
    sorted.sort();
    let at = |percent: usize| sorted[sorted.len() * percent / 100].as_secs_f64() * 1e6;
    format!("p50 {:.0} us, p99 {:.0} us", at(50), at(99))
}
