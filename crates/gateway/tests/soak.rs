//! Injects random faults around gateway processes and checks the gateway's
//! guarantees on what callers and targets have observed.
//!
//! CI runs a few seeds for some seconds. To run more:
//! `SOAK_SEEDS=1..50 SOAK_SECONDS=10 cargo test -p verbenahub-gateway --test soak -- --nocapture`.
//! The seed determines the sequence of faults, but not how they interleave with the
//! requests.

mod support;

use std::{
    collections::BTreeMap,
    env,
    io::Write,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fastrand::Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_routes,
    limit_watch::{GatewayHistory, LIMIT_HEADER, LimitWatch},
    register, route, target_record, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, FaultProxy, LinkFault, PlainTarget, RawCall, RawReply, ReplyStep, RunLog,
    StageTarget, StoreFault, StoreServer,
};

const GATEWAYS: usize = 3;
const CALLERS: usize = 8;
/// Call of a stage target before whose answer its first one arrives again.
const COPY_CALL: usize = 20;
/// Pause between a target's report that it drains and an earlier write of it.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(500);
/// Number of events in a complete stream.
const EVENTS: u32 = 5;
/// A complete answer that belongs to no request.
const HIDDEN_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b.07\r\nContent-Length: 6\r\n\r\nhidden";
/// Limit that one target of each service names during the faults, in requests a
/// second.
const LIMIT: f64 = 2.0;
/// Seeds that are run unless `SOAK_SEEDS` is set.
const CI_SEEDS: Range<u64> = 1..3;
/// Duration of the faults for each seed unless `SOAK_SECONDS` is set.
const CI_SECONDS: u64 = 6;

/// A request and the response that its caller received.
#[derive(Clone, Debug)]
struct ObservedRequest {
    id: String,
    kind: &'static str,
    response: RawResponse,
    /// Gateway that it was sent to.
    gateway: SocketAddr,
    /// When the response was complete.
    ended_at: Instant,
}

/// Gateway that each request was sent to.
type SenderLog = Mutex<BTreeMap<String, SocketAddr>>;

/// The gateways and everything that they are connected to.
struct SoakCluster {
    store: StoreServer,
    log: RunLog,
    targets: Vec<PlainTarget>,
    stages: Vec<StageTarget>,
    /// Proxies between the gateways and the targets that are not stages.
    target_proxies: Vec<FaultProxy>,
    /// Proxies between the gateways and the store, by index of the gateway.
    store_proxies: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    /// Limits of the targets that name one, by target.
    limits: BTreeMap<String, LimitWatch>,
    /// Gateways that are frozen or were, with the begin and the end of it.
    frozen: Vec<(SocketAddr, Instant, Option<Instant>)>,
    /// Addresses at which the gateways accept callers, by index of the gateway.
    caller_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Last published version of the configuration.
    version: u64,
}

impl SoakCluster {
    fn start(seed: u64) -> Self {
        let store = StoreServer::start(any_port()).expect("the store starts");
        let log = RunLog::default();
        let mut cluster = Self {
            store_proxies: (0..GATEWAYS)
                .map(|_| FaultProxy::start(store.address()).expect("the proxy starts"))
                .collect(),
            store,
            log,
            targets: Vec::new(),
            stages: Vec::new(),
            target_proxies: Vec::new(),
            gateways: Vec::new(),
            limits: ["desk-1", "pool-1"]
                .map(|target| (target.to_owned(), LimitWatch::new(LIMIT)))
                .into(),
            frozen: Vec::new(),
            caller_addresses: Arc::default(),
            version: 0,
        };
        cluster.publish_config();
        for index in 0..3 {
            let fault_seed = AtomicU64::new(seed * 7 + index);
            let id = format!("desk-{index}");
            let limit = cluster.limits.get(&id).cloned();
            let target = PlainTarget::start(any_port(), &id, &cluster.log, move |call| {
                name_limit(limit.as_ref(), call, faulty_plain_reply(call, &fault_seed))
            });
            cluster.add_target(target.expect("the target starts"), "desk");
        }
        for index in 0..3 {
            let fault_seed = AtomicU64::new(seed * 11 + index);
            let id = format!("pool-{index}");
            let limit = cluster.limits.get(&id).cloned();
            let target = PlainTarget::start(any_port(), &id, &cluster.log, move |call| {
                name_limit(limit.as_ref(), call, faulty_stream_reply(call, &fault_seed))
            });
            cluster.add_target(target.expect("the engine starts"), "pool");
        }
        for (index, service) in ["stage-a", "stage-a", "stage-b", "stage-b"]
            .iter()
            .enumerate()
        {
            let id = format!("stage-{index}");
            let call_time = Duration::from_millis(30);
            let stage = if index == 0 {
                StageTarget::start_with_duplicate_answer(any_port(), &id, call_time, COPY_CALL)
            } else {
                StageTarget::start(any_port(), &id, call_time)
            };
            let stage = stage.expect("the stage starts");
            // Results name the address of the stage that produced them, so stages have no
            // proxy.
            register(&cluster.store, &id, service, stage.server().address());
            cluster.stages.push(stage);
        }
        cluster.write_odd_entries();
        for index in 0..GATEWAYS {
            let gateway = cluster.start_gateway(index);
            cluster.gateways.push(gateway);
        }
        for gateway in &cluster.gateways {
            gateway.wait_ready();
            gateway.wait_log_line(|line| line["targets"] == 10);
        }
        *cluster
            .caller_addresses
            .lock()
            .expect("the lock is not poisoned") = cluster.current_caller_addresses();
        cluster
    }

    fn add_target(&mut self, target: PlainTarget, service: &str) {
        let proxy = FaultProxy::start(target.server().address()).expect("the proxy starts");
        register(&self.store, target.id(), service, proxy.address());
        self.target_proxies.push(proxy);
        self.targets.push(target);
    }

    fn start_gateway(&self, index: usize) -> GatewayProcess {
        let seeds: Vec<SocketAddr> = self
            .gateways
            .iter()
            .map(|gateway| gateway.peer_address)
            .collect();
        let store = self.store_proxies[index].address();
        GatewayProcess::start(&format!("n{index}"), store, &seeds)
    }

    fn current_caller_addresses(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.caller_address)
            .collect()
    }

    /// Publishes the next version of the configuration.
    fn publish_config(&mut self) {
        self.version += 1;
        let mut staged_route = route("staged", "/staged/", "streaming", "pool", 1);
        staged_route["Stages"] = json!([
            { "Service": "stage-a", "After": [], "Bytes": 1000 },
            { "Service": "stage-b", "After": [0], "Bytes": 1000 }
        ]);
        let mut routes = default_routes();
        routes.push(staged_route);
        let mut config = config(self.version, &routes);
        let tenants = config["Tenants"].as_array_mut().expect("tenants");
        tenants.push(json!({ "Name": "Mill & Sons, \u{c4}sch", "ApiKeys": ["key-odd"] }));
        tenants.push(json!({ "Name": "mill\nTenant: inn", "ApiKeys": ["key-unusable"] }));
        self.store.put("op/config", &config);
    }

    /// Writes entries that name no target: under odd names, and of another form.
    fn write_odd_entries(&self) {
        for name in [
            "copy of desk-0",
            "desk-0&After=",
            "desk-0#",
            "desk-0+",
            "desk%2D0",
        ] {
            let record = target_record("desk", any_port());
            self.store.put(&format!("servers/{name}"), &record);
        }
        self.store.put_bytes("servers/odd", b"\xff{");
        self.store.put_item("servers/raw", &json!({ "Key": 7 }));
    }

    /// Injects a random fault, publishes a configuration, sends a signal or clears
    /// all faults.
    fn inject_fault(&mut self, rng: &mut Rng) {
        let index = rng.usize(0..GATEWAYS);
        let fault = LinkFault::ALL[rng.usize(0..LinkFault::ALL.len())];
        match rng.u8(0..13) {
            0..=2 => {
                let proxy = rng.usize(0..self.target_proxies.len());
                self.target_proxies[proxy].set(fault);
            }
            3 => self.store_proxies[index].set(fault),
            4 => {
                let faults = [
                    StoreFault::Busy,
                    StoreFault::RateLimited,
                    StoreFault::Reset,
                    StoreFault::Silent,
                ];
                self.store.set_fault(faults[rng.usize(0..faults.len())]);
            }
            5 => {
                let address = self.gateways[index].caller_address;
                self.frozen.push((address, Instant::now(), None));
                self.gateways[index].signal(Signal::STOP);
            }
            6 | 7 => self.resume_gateway(index),
            8 => self.replace_gateway(index),
            9 => {
                self.publish_config();
                self.write_odd_entries();
            }
            10 => self.gateways[index].signal(Signal::HUP),
            11 => self.store.cut_watches(),
            _ => self.clear_faults(),
        }
    }

    fn resume_gateway(&mut self, index: usize) {
        let gateway = &self.gateways[index];
        gateway.signal(Signal::CONT);
        let freezes = self.frozen.iter_mut();
        for (_, _, end) in freezes.filter(|(address, _, _)| *address == gateway.caller_address) {
            end.get_or_insert_with(Instant::now);
        }
    }

    /// Starts a new gateway in place of another, which is killed.
    fn replace_gateway(&mut self, index: usize) {
        let gateway = self.start_gateway(index);
        self.caller_addresses
            .lock()
            .expect("the lock is not poisoned")[index] = gateway.caller_address;
        self.gateways[index] = gateway;
    }

    /// Removes the faults of the proxies and the store, and resumes stopped gateways.
    fn clear_faults(&mut self) {
        for proxy in self.target_proxies.iter().chain(&self.store_proxies) {
            proxy.set(LinkFault::None);
        }
        self.store.set_fault(StoreFault::None);
        for index in 0..GATEWAYS {
            self.resume_gateway(index);
        }
    }

    /// Checks that the targets with limits got no more requests than these allow.
    /// Returns the largest number of requests in a window.
    fn check_limits(&self, requests: &[ObservedRequest], senders: &SenderLog) -> usize {
        let now = Instant::now();
        let frozen = self.frozen.iter();
        let frozen: Vec<_> = frozen
            .map(|(address, from, until)| (*address, *from, until.unwrap_or(now)))
            .collect();
        let checks = self.limits.iter().map(|(target, limit)| {
            let mut told_at = BTreeMap::new();
            for request in requests {
                let runs = self.log.runs_of(&request.id);
                let names_limit = request.response.header(LIMIT_HEADER).is_some();
                if names_limit && runs.iter().any(|run| run.target == *target) {
                    let first = told_at.entry(request.gateway).or_insert(request.ended_at);
                    *first = request.ended_at.min(*first);
                }
            }
            limit.check(&GatewayHistory {
                senders: senders.lock().expect("the lock is not poisoned").clone(),
                told_at,
                frozen: frozen.clone(),
            })
        });
        checks.max().unwrap_or_default()
    }

    /// Checks that each gateway applies a new version of the configuration and serves
    /// requests of all kinds.
    fn check_recovery(&mut self, prefix: &str) {
        self.publish_config();
        for gateway in &self.gateways {
            gateway.wait_log_line(|line| line["version"] == self.version);
            gateway.wait_ready();
        }
        for (index, gateway) in self.gateways.iter().enumerate() {
            for (kind_index, kind) in KINDS.iter().enumerate() {
                let attempts = AtomicU64::new(0);
                wait_for("service after the faults", || {
                    let attempt = attempts.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{prefix}-end-{index}-{kind_index}-{attempt}");
                    let response = request(kind, &id).fetch(gateway.caller_address);
                    response.status == 200 && response.is_complete
                });
            }
        }
    }

    /// Checks that a draining target gets no requests once the gateways know its state,
    /// although the store carries out an earlier write of it later.
    fn check_draining(&self, prefix: &str) {
        let mut record = target_record("desk", self.target_proxies[0].address());
        for (state, number) in [("draining", 9), ("ready", 8)] {
            record["State"] = json!(state);
            record["Sequence"] = json!(number);
            self.store.put("servers/desk-0", &record);
            thread::sleep(LATE_WRITE_DELAY);
        }
        let last_targets_change = |gateway: &GatewayProcess| {
            let id = format!("{prefix}-probe");
            request("look", &id).fetch(gateway.caller_address);
            gateway
                .log_lines()
                .iter()
                .rfind(|line| line["msg"] == "targets: Changed.")
                .cloned()
        };
        thread::sleep(Duration::from_secs(2));
        for gateway in &self.gateways {
            assert!(last_targets_change(gateway).is_some());
            for index in 0..12 {
                let id = format!("{prefix}-leaving-{}-{index}", gateway.caller_address.port());
                request("look", &id).fetch(gateway.caller_address);
                let runs = self.log.runs_of(&id);
                assert!(
                    runs.iter().all(|run| run.target != "desk-0"),
                    "{id} reached a draining target"
                );
            }
        }
    }
}

/// Kinds of requests, which are also the path prefixes of their routes.
const KINDS: [&str; 5] = ["book", "look", "tell", "resume", "staged"];

fn request(kind: &str, id: &str) -> CallerRequest {
    let path = format!("/{kind}/x");
    let mut request = match kind {
        "look" => CallerRequest::new("GET", &path, id),
        "staged" => CallerRequest::new("POST", &path, id)
            .with_header("Pieces", "2,3")
            .with_header("Piece-Key", &format!("key of {id}")),
        _ => CallerRequest::new("POST", &path, id),
    };
    request.deadline_ms = 2_000;
    request
}

fn name_limit(limit: Option<&LimitWatch>, call: &RawCall, reply: RawReply) -> RawReply {
    let id = call.header("Attempt-Id").unwrap_or_default();
    match limit {
        Some(limit) => limit.name_in(id, reply),
        None => reply,
    }
}

/// Returns a complete response or, in 8 of 20 cases, a fault: a truncated, missing,
/// malformed, failed or repeated response, or one with an invalid head.
fn faulty_plain_reply(call: &RawCall, fault_seed: &AtomicU64) -> RawReply {
    let id = call.header("Attempt-Id").unwrap_or_default();
    let complete = PlainTarget::signed(call, "200 OK", format!("answer to {id}").as_bytes());
    match Rng::with_seed(fault_seed.fetch_add(1, Ordering::SeqCst)).u8(0..20) {
        0 => RawReply::send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")
            .then(ReplyStep::Close),
        1 => RawReply::default().then(ReplyStep::Close),
        2 => RawReply::silence(),
        3 => RawReply::send("nonsense\r\n\r\n").then(ReplyStep::Close),
        4 => PlainTarget::signed(call, "500 No", b"failed"),
        5 => {
            let mut repeated = complete.clone();
            repeated.steps.extend(complete.steps);
            repeated
        }
        6 => RawReply::send(format!("HTTP/1.1 000 No\r\n\r\n{HIDDEN_ANSWER}")),
        7 => complete.with_header("Odd Name", "x"),
        _ => complete,
    }
}

/// Returns a complete stream or, in 3 of 12 cases, one that is closed or stalls
/// before its end.
fn faulty_stream_reply(call: &RawCall, fault_seed: &AtomicU64) -> RawReply {
    let pause = Duration::from_millis(10);
    match Rng::with_seed(fault_seed.fetch_add(1, Ordering::SeqCst)).u8(0..12) {
        0 => EngineTarget::stream(call, 2, pause).then(ReplyStep::Close),
        1 => EngineTarget::stream(call, 2, pause)
            .chunk(b"id: 2\nda")
            .then(ReplyStep::Close),
        2 => EngineTarget::stream(call, 3, pause).then(ReplyStep::Silence),
        _ => EngineTarget::stream(call, EVENTS, pause).last_chunk(),
    }
}

/// Sends requests until `stop` is set, on new and on reused connections. Some are
/// abandoned before the response.
fn send_requests(
    caller: usize,
    seed: u64,
    caller_addresses: &Mutex<Vec<SocketAddr>>,
    senders: &SenderLog,
    stop: &AtomicBool,
) -> Vec<ObservedRequest> {
    let mut rng = Rng::with_seed(seed * 1_000 + caller as u64);
    let mut requests = Vec::new();
    let mut idle_connection = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let kind = KINDS[rng.usize(0..KINDS.len())];
        let id = format!("s{seed}-{caller}-{count}");
        let address =
            caller_addresses.lock().expect("the lock is not poisoned")[rng.usize(0..GATEWAYS)];
        let connection = idle_connection.take().or_else(|| {
            let stream = std::net::TcpStream::connect(address).ok()?;
            Some((stream, address))
        });
        let Some((mut stream, gateway)) = connection else {
            continue;
        };
        senders
            .lock()
            .expect("the lock is not poisoned")
            .insert(id.clone(), gateway);
        let read_timeout = Some(Duration::from_millis(2_500));
        stream
            .set_read_timeout(read_timeout)
            .expect("the timeout is set");
        let is_abandoned = rng.u8(0..10) == 0;
        if stream.write_all(&request(kind, &id).encode()).is_err() {
            continue;
        }
        if is_abandoned {
            thread::sleep(Duration::from_millis(rng.u64(0..60)));
            continue;
        }
        let response = RawResponse::read(&mut stream);
        if response.is_complete && response.header("Connection") != Some("close") && rng.bool() {
            idle_connection = Some((stream, gateway));
        }
        requests.push(ObservedRequest {
            id,
            kind,
            response,
            gateway,
            ended_at: Instant::now(),
        });
    }
    requests
}

/// Checks what callers and targets have observed against the guarantees.
fn check_guarantees(cluster: &SoakCluster, requests: &[ObservedRequest]) {
    let mut run_counts: BTreeMap<String, usize> = BTreeMap::new();
    for run in cluster.log.runs() {
        let id = run.call.header("Attempt-Id").unwrap_or_default();
        *run_counts.entry(id.to_owned()).or_default() += 1;
        if !run.call.path().starts_with("/look/") && !run.call.path().starts_with("/resume/") {
            assert_eq!(run_counts[id], 1, "{id} ran more than once");
        }
        assert_eq!(run.call.header("Tenant"), Some("inn"), "{id}");
    }
    for ObservedRequest {
        id, kind, response, ..
    } in requests
    {
        let run_count = run_counts.get(id).copied().unwrap_or_default();
        if matches!(response.status, 408 | 421 | 429 | 503) {
            let may_repeat = matches!(*kind, "look" | "resume");
            assert!(
                may_repeat || run_count == 0,
                "{id} ran, but its response says that it did not"
            );
        }
        if response.status != 200 {
            continue;
        }
        let text = response.text();
        if matches!(*kind, "book" | "look") {
            assert!(
                !response.is_complete || text == format!("answer to {id}"),
                "{id}: {text}"
            );
            continue;
        }
        let events = (0..EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n"));
        let complete = events.collect::<Vec<_>>().concat();
        assert!(complete.starts_with(&text), "{id}: {text}");
        assert!(
            !response.is_complete || text == complete,
            "{id} has an incomplete stream that looks complete: {text}"
        );
    }
    check_stage_inputs(cluster);
}

/// Checks that each stage result and each engine call had all its inputs, from the
/// same request and the previous stage, and that stages without inputs got the
/// request's key.
fn check_stage_inputs(cluster: &SoakCluster) {
    let results: Vec<(Value, String)> = cluster
        .stages
        .iter()
        .flat_map(StageTarget::results)
        .collect();
    let producers: BTreeMap<&str, &Value> = results
        .iter()
        .map(|(item, name)| (name.as_str(), item))
        .collect();
    for (item, _) in &results {
        let id = item["Id"].as_str().expect("an id");
        let Some(inputs) = item["Inputs"].as_array() else {
            assert_eq!(item["Key"], format!("key of {id}"));
            continue;
        };
        assert_eq!(inputs.len(), 2, "{id} lacks inputs");
        for input in inputs.iter().filter_map(Value::as_str) {
            let producer = producers[input];
            assert_eq!(
                (&producer["Id"], &producer["Stage"]),
                (&item["Id"], &json!(0)),
                "{id}"
            );
        }
    }
    for run in cluster.log.runs() {
        let Some(inputs) = run.call.header("Inputs") else {
            continue;
        };
        let id = run.call.header("Attempt-Id").expect("an id");
        assert_eq!(inputs.split(',').count(), 3, "{id}");
        for input in inputs.split(',') {
            assert_eq!(
                (&producers[input]["Id"], &producers[input]["Stage"]),
                (&json!(id), &json!(1))
            );
        }
    }
}

/// Runs one seed: injects faults under load, then checks recovery and the guarantees.
fn soak(seed: u64, duration: Duration) {
    let mut cluster = SoakCluster::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Arc<SenderLog> = Arc::default();
    let callers: Vec<JoinHandle<Vec<ObservedRequest>>> = (0..CALLERS)
        .map(|index| {
            let (addresses, stop) = (Arc::clone(&cluster.caller_addresses), Arc::clone(&stop));
            let senders = Arc::clone(&senders);
            thread::spawn(move || send_requests(index, seed, &addresses, &senders, &stop))
        })
        .collect();
    let mut rng = Rng::with_seed(seed);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        cluster.inject_fault(&mut rng);
        thread::sleep(Duration::from_millis(rng.u64(40..400)));
    }
    cluster.clear_faults();
    stop.store(true, Ordering::SeqCst);
    let callers = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller does not panic"));
    let requests: Vec<ObservedRequest> = callers.flatten().collect();
    for limit in cluster.limits.values() {
        limit.withdraw();
    }
    let most_limited = cluster.check_limits(&requests, &senders);
    let prefix = format!("s{seed}");
    cluster.check_recovery(&prefix);
    cluster.check_draining(&prefix);
    check_guarantees(&cluster, &requests);
    let served = requests
        .iter()
        .filter(|request| request.response.status == 200 && request.response.is_complete);
    println!(
        "soak: seed {seed}: {} requests, {} served, {most_limited} of a limited target in 4 s",
        requests.len(),
        served.count()
    );
    for gateway in &cluster.gateways {
        gateway.signal(Signal::TERM);
    }
    for gateway in &mut cluster.gateways {
        assert!(
            gateway.wait_exit(),
            "a gateway exited with a failure status"
        );
    }
}

fn seeds() -> Range<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return CI_SEEDS;
    };
    let (first, end) = text
        .split_once("..")
        .expect("SOAK_SEEDS has the form FIRST..END");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

#[test]
fn guarantees_hold_under_random_faults() {
    let seconds = env::var("SOAK_SECONDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let duration = Duration::from_secs(seconds.unwrap_or(CI_SECONDS));
    for seed in seeds() {
        soak(seed, duration);
    }
}
