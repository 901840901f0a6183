//! Random faults on real gateways, with the promises checked from what callers
//! and targets see.
//!
//! CI runs a few seeds for some seconds. By hand:
//! `SOAK_SEEDS=1..50 SOAK_SECONDS=10 cargo test -p verbenahub-gateway --test soak -- --nocapture`.
//! The series of faults follows from the seed; the interleaving doesn't.

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
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_routes, register,
    register_with_state, route, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, FaultProxy, LinkFault, PlainTarget, RawCall, RawReply, ReplyPart, RunLog,
    StageTarget, StoreFault, StoreServer,
};

const GATEWAYS: usize = 3;
const CALLERS: usize = 8;
const EVENTS: u32 = 5;
const CI_SEEDS: Range<u64> = 1..3;
const CI_SECONDS: u64 = 6;

/// One request and what its caller saw.
#[derive(Clone, Debug)]
struct SeenRequest {
    id: String,
    kind: &'static str,
    answer: RawResponse,
}

/// Everything around the gateways.
struct SoakWorld {
    store: StoreServer,
    log: RunLog,
    targets: Vec<PlainTarget>,
    stages: Vec<StageTarget>,
    /// Links to targets and stages.
    links: Vec<FaultProxy>,
    /// Links of the gateways to the store.
    store_links: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    fronts: Arc<Mutex<Vec<SocketAddr>>>,
    version: u64,
}

impl SoakWorld {
    fn start(seed: u64) -> Self {
        let store = StoreServer::start(any_port()).expect("a store");
        let log = RunLog::default();
        let mut world = Self {
            store_links: (0..GATEWAYS)
                .map(|_| FaultProxy::start(store.address()).expect("a link"))
                .collect(),
            store,
            log,
            targets: Vec::new(),
            stages: Vec::new(),
            links: Vec::new(),
            gateways: Vec::new(),
            fronts: Arc::default(),
            version: 0,
        };
        world.configure();
        for number in 0..3 {
            let faults = AtomicU64::new(seed * 7 + number);
            let id = format!("desk-{number}");
            let target = PlainTarget::start(any_port(), &id, &world.log, move |call| {
                plain_answer(call, &faults)
            });
            world.add_target(target.expect("a target"), "desk");
        }
        for number in 0..3 {
            let faults = AtomicU64::new(seed * 11 + number);
            let id = format!("pool-{number}");
            let target = PlainTarget::start(any_port(), &id, &world.log, move |call| {
                stream_answer(call, &faults)
            });
            world.add_target(target.expect("an engine"), "pool");
        }
        for (number, service) in ["stage-a", "stage-a", "stage-b", "stage-b"]
            .iter()
            .enumerate()
        {
            let id = format!("stage-{number}");
            let stage = StageTarget::start(any_port(), &id, Duration::from_millis(30));
            let stage = stage.expect("a stage");
            // Results name their maker's own address, so stages have no link.
            register(&world.store, &id, service, stage.server().address());
            world.stages.push(stage);
        }
        for place in 0..GATEWAYS {
            let gateway = world.start_gateway(place);
            world.gateways.push(gateway);
        }
        for gateway in &world.gateways {
            gateway.wait_ready();
            gateway.wait_log_line(|line| line["targets"] == 10);
        }
        *world.fronts.lock().expect("fronts") = world.fronts_now();
        world
    }

    fn add_target(&mut self, target: PlainTarget, service: &str) {
        let link = FaultProxy::start(target.server().address()).expect("a link");
        register(&self.store, target.id(), service, link.address());
        self.links.push(link);
        self.targets.push(target);
    }

    fn start_gateway(&self, place: usize) -> GatewayProcess {
        let seeds: Vec<SocketAddr> = self
            .gateways
            .iter()
            .map(|gateway| gateway.peer_address)
            .collect();
        let store = self.store_links[place].address();
        GatewayProcess::start(&format!("n{place}"), store, &seeds)
    }

    fn fronts_now(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.caller_address)
            .collect()
    }

    /// Writes the next version of the configuration.
    fn configure(&mut self) {
        self.version += 1;
        let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
        staged["Stages"] = json!([
            { "Service": "stage-a", "After": [], "Bytes": 1000 },
            { "Service": "stage-b", "After": [0], "Bytes": 1000 }
        ]);
        let mut routes = default_routes();
        routes.push(staged);
        self.store.put("op/config", &config(self.version, &routes));
    }

    /// Does one thing to the gateways or around them.
    fn disturb(&mut self, rng: &mut Rng) {
        let place = rng.usize(0..GATEWAYS);
        let fault = LinkFault::ALL[rng.usize(0..LinkFault::ALL.len())];
        match rng.u8(0..12) {
            0..=2 => {
                let link = rng.usize(0..self.links.len());
                self.links[link].set(fault);
            }
            3 => self.store_links[place].set(fault),
            4 => {
                let faults = [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent];
                self.store.set_fault(faults[rng.usize(0..faults.len())]);
            }
            5 => self.gateways[place].signal(Signal::STOP),
            6 | 7 => self.gateways[place].signal(Signal::CONT),
            8 => self.replace_gateway(place),
            9 => self.configure(),
            10 => self.gateways[place].signal(Signal::HUP),
            _ => self.heal(),
        }
    }

    /// Kills a gateway and starts it anew.
    fn replace_gateway(&mut self, place: usize) {
        let gateway = self.start_gateway(place);
        self.fronts.lock().expect("fronts")[place] = gateway.caller_address;
        self.gateways[place] = gateway;
    }

    fn heal(&self) {
        for link in self.links.iter().chain(&self.store_links) {
            link.set(LinkFault::None);
        }
        self.store.set_fault(StoreFault::None);
        for gateway in &self.gateways {
            gateway.signal(Signal::CONT);
        }
    }

    /// All nodes come to the last version, and all kinds are served by all.
    fn check_recovery(&mut self, prefix: &str) {
        self.configure();
        for gateway in &self.gateways {
            gateway.wait_log_line(|line| line["version"] == self.version);
            gateway.wait_ready();
        }
        for (place, gateway) in self.gateways.iter().enumerate() {
            for (number, kind) in KINDS.iter().enumerate() {
                let attempt = AtomicU64::new(0);
                wait_for("service after the faults", || {
                    let try_number = attempt.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{prefix}-end-{place}-{number}-{try_number}");
                    let answer = request(kind, &id).fetch(gateway.caller_address);
                    answer.status == 200 && answer.is_complete
                });
            }
        }
    }

    /// A leaving target gets nothing once the nodes know.
    fn check_leaving(&self, prefix: &str) {
        let address = self.links[0].address();
        register_with_state(&self.store, "desk-0", "desk", address, "draining");
        let revision_known = |gateway: &GatewayProcess| {
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
            assert!(revision_known(gateway).is_some());
            for number in 0..12 {
                let id = format!(
                    "{prefix}-leaving-{}-{number}",
                    gateway.caller_address.port()
                );
                request("look", &id).fetch(gateway.caller_address);
                let runs = self.log.runs_of(&id);
                assert!(
                    runs.iter().all(|run| run.target != "desk-0"),
                    "{id} reached a leaver"
                );
            }
        }
    }
}

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

/// Targets fail now and then: they refuse, break off, garble or fall silent.
fn plain_answer(call: &RawCall, faults: &AtomicU64) -> RawReply {
    let id = call.header("Attempt-Id").unwrap_or_default();
    let whole = PlainTarget::signed(call, "200 OK", format!("answer to {id}").as_bytes());
    match Rng::with_seed(faults.fetch_add(1, Ordering::SeqCst)).u8(0..20) {
        0 => RawReply::send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf")
            .then(ReplyPart::Close),
        1 => RawReply::default().then(ReplyPart::Close),
        2 => RawReply::silence(),
        3 => RawReply::send("nonsense\r\n\r\n").then(ReplyPart::Close),
        4 => PlainTarget::signed(call, "500 No", b"failed"),
        5 => {
            let mut twice = whole.clone();
            twice.parts.extend(whole.parts);
            twice
        }
        _ => whole,
    }
}

fn stream_answer(call: &RawCall, faults: &AtomicU64) -> RawReply {
    let pause = Duration::from_millis(10);
    match Rng::with_seed(faults.fetch_add(1, Ordering::SeqCst)).u8(0..12) {
        0 => EngineTarget::stream(call, 2, pause).then(ReplyPart::Close),
        1 => EngineTarget::stream(call, 2, pause)
            .chunk(b"id: 2\nda")
            .then(ReplyPart::Close),
        2 => EngineTarget::stream(call, 3, pause).then(ReplyPart::Silence),
        _ => EngineTarget::stream(call, EVENTS, pause).last_chunk(),
    }
}

/// Sends requests until told to stop, on new and on kept connections.
fn call_on(
    number: usize,
    seed: u64,
    fronts: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
) -> Vec<SeenRequest> {
    let mut rng = Rng::with_seed(seed * 1_000 + number as u64);
    let mut requests = Vec::new();
    let mut kept = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let kind = KINDS[rng.usize(0..KINDS.len())];
        let id = format!("s{seed}-{number}-{count}");
        let front = fronts.lock().expect("fronts")[rng.usize(0..GATEWAYS)];
        let stream = kept
            .take()
            .or_else(|| std::net::TcpStream::connect(front).ok());
        let Some(mut stream) = stream else { continue };
        let patience = Some(Duration::from_millis(2_500));
        stream.set_read_timeout(patience).expect("a timeout");
        let leaves = rng.u8(0..10) == 0;
        if stream.write_all(&request(kind, &id).encode()).is_err() {
            continue;
        }
        if leaves {
            thread::sleep(Duration::from_millis(rng.u64(0..60)));
            continue;
        }
        let answer = RawResponse::read(&mut stream);
        if answer.is_complete && answer.header("Connection") != Some("close") && rng.bool() {
            kept = Some(stream);
        }
        requests.push(SeenRequest { id, kind, answer });
    }
    requests
}

/// Checks what callers and targets have seen against the promises.
fn check(world: &SoakWorld, seen: &[SeenRequest]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in world.log.runs() {
        let id = run.call.header("Attempt-Id").unwrap_or_default();
        *runs.entry(id.to_owned()).or_default() += 1;
        if !run.call.path().starts_with("/look/") && !run.call.path().starts_with("/resume/") {
            assert_eq!(runs[id], 1, "{id} ran twice");
        }
        assert_eq!(run.call.header("Tenant"), Some("inn"), "{id}");
    }
    for SeenRequest { id, kind, answer } in seen {
        let ran = runs.get(id).copied().unwrap_or_default();
        if matches!(answer.status, 408 | 421 | 429 | 503) {
            let may_repeat = matches!(*kind, "look" | "resume");
            assert!(may_repeat || ran == 0, "{id} was called not run and ran");
        }
        if answer.status != 200 {
            continue;
        }
        let text = answer.text();
        if matches!(*kind, "book" | "look") {
            assert!(
                !answer.is_complete || text == format!("answer to {id}"),
                "{id}: {text}"
            );
            continue;
        }
        let events = (0..EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n"));
        let whole = events.collect::<Vec<_>>().concat();
        assert!(whole.starts_with(&text), "{id}: {text}");
        assert!(
            !answer.is_complete || text == whole,
            "{id} looks complete: {text}"
        );
    }
    check_pieces(world);
}

/// Each piece was made from results or the key of its own request.
fn check_pieces(world: &SoakWorld) {
    let results: Vec<(Value, String)> =
        world.stages.iter().flat_map(StageTarget::results).collect();
    let makers: BTreeMap<&str, &Value> = results
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
            let maker = makers[input];
            assert_eq!(
                (&maker["Id"], &maker["Stage"]),
                (&item["Id"], &json!(0)),
                "{id}"
            );
        }
    }
    for run in world.log.runs() {
        let Some(inputs) = run.call.header("Inputs") else {
            continue;
        };
        let id = run.call.header("Attempt-Id").expect("an id");
        assert_eq!(inputs.split(',').count(), 3, "{id}");
        for input in inputs.split(',') {
            assert_eq!(
                (&makers[input]["Id"], &makers[input]["Stage"]),
                (&json!(id), &json!(1))
            );
        }
    }
}

fn soak(seed: u64, span: Duration) {
    let mut world = SoakWorld::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<Vec<SeenRequest>>> = (0..CALLERS)
        .map(|number| {
            let (fronts, stop) = (Arc::clone(&world.fronts), Arc::clone(&stop));
            thread::spawn(move || call_on(number, seed, &fronts, &stop))
        })
        .collect();
    let mut rng = Rng::with_seed(seed);
    let end = Instant::now() + span;
    while Instant::now() < end {
        world.disturb(&mut rng);
        thread::sleep(Duration::from_millis(rng.u64(40..400)));
    }
    world.heal();
    stop.store(true, Ordering::SeqCst);
    let callers = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"));
    let requests: Vec<SeenRequest> = callers.flatten().collect();
    let prefix = format!("s{seed}");
    world.check_recovery(&prefix);
    world.check_leaving(&prefix);
    check(&world, &requests);
    let served = requests
        .iter()
        .filter(|seen| seen.answer.status == 200 && seen.answer.is_complete);
    println!(
        "soak: seed {seed}: {} requests, {} served",
        requests.len(),
        served.count()
    );
    for gateway in &world.gateways {
        gateway.signal(Signal::TERM);
    }
    for gateway in &mut world.gateways {
        assert!(gateway.wait_exit(), "a stop that failed");
    }
}

fn seeds() -> Range<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return CI_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS reads FIRST..END");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

#[test]
fn promises_hold_under_random_faults() {
    let seconds = env::var("SOAK_SECONDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let span = Duration::from_secs(seconds.unwrap_or(CI_SECONDS));
    for seed in seeds() {
        soak(seed, span);
    }
}
