//! Gateways as processes, between stand-ins of the platform and raw callers.

#![allow(dead_code)] // Each test file uses a part of this module.

use std::{
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use verbenahub_platform_standin::{NodeFile, PlainTarget, RawCall, RawReply, RunLog, StoreServer};

/// Bound on what never comes, so that a broken gateway ends the test.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// How often something is looked at that should come true.
const LOOK: Duration = Duration::from_millis(10);

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Waits until something is true.
pub fn wait_for<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let mut left = PATIENCE;
    while !condition() {
        assert!(!left.is_zero(), "{what} does not come true");
        thread::sleep(LOOK);
        left = left.saturating_sub(LOOK);
    }
}

#[derive(Default)]
struct LogLines {
    lines: Mutex<Vec<Value>>,
    grown: Condvar,
}

/// A gateway as a process of its own. Ends with its test.
pub struct GatewayProcess {
    child: Child,
    lines: Arc<LogLines>,
    reader: Option<JoinHandle<()>>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    _folder: TempDir,
}

impl GatewayProcess {
    pub fn start(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let folder = TempDir::new().expect("a folder");
        let file = NodeFile {
            node: name.to_owned(),
            zone: "z1".to_owned(),
            store_address: store,
            seeds: seeds.to_vec(),
            peer_address: any_port(),
            grace_period_seconds: 8,
        };
        let node_path = folder.path().join("node.toml");
        fs::write(&node_path, file.to_string()).expect("the node's file");
        let own_path = folder.path().join("gateway.toml");
        fs::write(&own_path, "metrics_port = 0\nlog_level = \"debug\"\n").expect("settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_verbenahub-gateway"))
            .arg("--settings")
            .arg(&own_path)
            .env("VERBENAHUB_NODE_FILE", &node_path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a gateway");
        let output = child.stdout.take().expect("its output");
        let lines: Arc<LogLines> = Arc::default();
        let read = Arc::clone(&lines);
        let reader = thread::spawn(move || {
            for line in BufReader::new(output).lines() {
                let Ok(line) = line else { return };
                let value = serde_json::from_str(&line).expect("a line of JSON");
                read.lines.lock().expect("lines").push(value);
                read.grown.notify_all();
            }
        });
        let mut process = Self {
            child,
            lines,
            reader: Some(reader),
            front: any_port(),
            ready: any_port(),
            peers: any_port(),
            metrics: any_port(),
            _folder: folder,
        };
        let started = process.wait_line(|line| line["msg"] == "gateway: Started.");
        let address = |name: &str| {
            let text = started[name].as_str().expect("an address");
            text.parse().expect("an address")
        };
        process.front = address("front");
        process.ready = address("ready");
        process.peers = address("peers");
        process.metrics = address("metrics");
        process
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start_ready(name: &str, store: SocketAddr) -> Self {
        let process = Self::start(name, store, &[]);
        process.wait_ready();
        process
    }

    /// Starts gateways that know each other.
    pub fn start_fleet(count: usize, store: SocketAddr) -> Vec<Self> {
        let mut fleet: Vec<Self> = Vec::new();
        for number in 0..count {
            let seeds: Vec<_> = fleet.iter().map(|process| process.peers).collect();
            fleet.push(Self::start(&format!("n{number}"), store, &seeds));
        }
        for process in &fleet {
            process.wait_ready();
        }
        for process in &fleet {
            process.wait_members(count);
        }
        fleet
    }

    /// Waits until the gateway sees so many members of the fleet.
    pub fn wait_members(&self, count: usize) {
        let members = format!("verbenahub_gateway_members {count}");
        wait_for("the fleet", || {
            let ask = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
            RawAnswer::ask(self.metrics, ask).text().contains(&members)
        });
    }

    pub fn is_ready(&self) -> bool {
        let answer = RawAnswer::ask(
            self.ready,
            "GET /verbenahub/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        answer.status == 200
    }

    pub fn wait_ready(&self) {
        wait_for("readiness", || self.is_ready());
    }

    /// The first line of the log, so far or to come, that fits.
    pub fn wait_line<F>(&self, fits: F) -> Value
    where
        F: Fn(&Value) -> bool,
    {
        let mut lines = self.lines.lines.lock().expect("lines");
        loop {
            if let Some(line) = lines.iter().find(|line| fits(line)) {
                return line.clone();
            }
            let waited = self.lines.grown.wait_timeout(lines, PATIENCE);
            let (next, result) = waited.expect("lines");
            assert!(!result.timed_out(), "the line does not come");
            lines = next;
        }
    }

    pub fn lines(&self) -> Vec<Value> {
        self.lines.lines.lock().expect("lines").clone()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("an id");
        let pid = Pid::from_raw(pid).expect("an id");
        kill_process(pid, signal).expect("a signal");
    }

    /// Waits until the process has ended by itself.
    pub fn wait_end(&mut self) -> bool {
        self.child.wait().expect("an end").success()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// An answer as it came, byte for byte.
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body reached its end.
    pub is_whole: bool,
}

impl RawAnswer {
    /// Sends a request on a new connection and reads the answer.
    pub fn ask(address: SocketAddr, request: &str) -> Self {
        let mut stream = connect(address);
        stream.write_all(request.as_bytes()).expect("a request");
        Self::read(&mut stream)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(own, _)| own.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads one answer. Its status is 0 if the connection ended before.
    pub fn read(stream: &mut TcpStream) -> Self {
        let mut answer = Self::default();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match read_byte(stream) {
                Some(byte) => head.push(byte),
                None => return answer,
            }
        }
        answer.head = String::from_utf8(head).expect("a head of text");
        let status = answer.head.split(' ').nth(1).expect("a status");
        answer.status = status.parse().expect("a status");
        if answer.header("transfer-encoding") == Some("chunked") {
            answer.is_whole = read_chunks(stream, &mut answer.body);
        } else {
            let length = answer.header("content-length").expect("a length");
            let length: usize = length.parse().expect("a length");
            answer.is_whole = read_count(stream, length, &mut answer.body);
        }
        answer
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream
}

fn read_byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    matches!(stream.read(&mut byte), Ok(1)).then_some(byte[0])
}

fn read_count(stream: &mut TcpStream, count: usize, body: &mut Vec<u8>) -> bool {
    for _ in 0..count {
        match read_byte(stream) {
            Some(byte) => body.push(byte),
            None => return false,
        }
    }
    true
}

fn read_chunks(stream: &mut TcpStream, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            match read_byte(stream) {
                Some(byte) => line.push(byte),
                None => return false,
            }
        }
        let text = String::from_utf8(line).expect("a size");
        let size = usize::from_str_radix(text.trim(), 16).expect("a size");
        let mut rest = Vec::new();
        if !read_count(stream, size, body) || !read_count(stream, 2, &mut rest) {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: Option<&'static str>,
    pub deadline_ms: u32,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl CallerRequest {
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            id: id.to_owned(),
            key: Some("key-one"),
            deadline_ms: 5_000,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        if let Some(key) = self.key {
            write!(text, "Authorization: Bearer {key}\r\n").expect("a string");
        }
        for (name, value) in &self.headers {
            write!(text, "{name}: {value}\r\n").expect("a string");
        }
        if self.method == "POST" {
            write!(text, "Content-Length: {}\r\n", self.body.len()).expect("a string");
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    pub fn send(&self, address: SocketAddr) -> TcpStream {
        let mut stream = connect(address);
        stream.write_all(&self.encode()).expect("a request");
        stream
    }

    pub fn ask(&self, address: SocketAddr) -> RawAnswer {
        RawAnswer::read(&mut self.send(address))
    }
}

/// A route as the operator writes it.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({
        "Name": name, "Host": "shop.example", "Prefix": prefix, "Kind": kind,
        "TimeoutMs": 5000, "GoalMs": 1000, "Priority": 1, "Service": service,
        "Attempts": attempts, "Stages": [], "Public": false, "Resumable": false,
        "GapTargetMs": 250
    })
}

/// The operator's configuration with the usual routes.
pub fn config(version: u64, routes: &[Value]) -> Value {
    json!({
        "Version": version,
        "Routes": routes,
        "Services": [
            { "Name": "desk", "HealthPath": "/health", "MaxConns": 100 },
            { "Name": "pool", "Engine": { "Slots": 64 } },
            { "Name": "stage-a", "Pieces": { "Slots": 1, "Queue": 2, "Batch": 10, "CallMs": 50.0,
                "ItemMs": 1.0, "HeadroomMb": 10.0, "HandleS": 4.0, "LinkMbps": 10000 } },
            { "Name": "stage-b", "Pieces": { "Slots": 1, "Queue": 2, "Batch": 10, "CallMs": 50.0,
                "ItemMs": 1.0, "HeadroomMb": 10.0, "HandleS": 4.0, "LinkMbps": 10000 } }
        ],
        "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 30000 },
        "Tenants": [
            { "Name": "inn", "ApiKeys": ["key-one"] },
            { "Name": "home", "ApiKeys": ["key-two"] }
        ]
    })
}

/// The routes that most tests use: one of each kind.
pub fn usual_routes() -> Vec<Value> {
    let mut resumable = route("resumable", "/resume/", "streaming", "pool", 2);
    resumable["Resumable"] = json!(true);
    vec![
        route("book", "/book/", "non_idempotent", "desk", 1),
        route("look", "/look/", "idempotent", "desk", 2),
        route("tell", "/tell/", "streaming", "pool", 1),
        resumable,
    ]
}

/// Registers a target in the store.
pub fn register(store: &StoreServer, id: &str, service: &str, address: SocketAddr) {
    register_as(store, id, service, address, "ready");
}

pub fn register_as(store: &StoreServer, id: &str, service: &str, address: SocketAddr, state: &str) {
    let record = json!({
        "Service": service, "Address": address.to_string(), "Zone": "z1", "Version": "v1",
        "Slots": 8, "State": state, "ColdLeftMs": 0, "Sequence": 1, "born": 1
    });
    store.put(&format!("servers/{id}"), &record);
}

/// Starts targets of a service that follow a script, named by a prefix and their
/// number, and registers them.
pub fn start_targets<Script>(
    store: &StoreServer,
    log: &RunLog,
    service: &str,
    prefix: &str,
    count: usize,
    script: Script,
) -> Vec<PlainTarget>
where
    Script: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
{
    let targets = (0..count).map(|number| {
        let id = format!("{prefix}{number}");
        let target = PlainTarget::start(any_port(), &id, log, script.clone());
        let target = target.expect("a target");
        register(store, &id, service, target.server().address());
        target
    });
    targets.collect()
}

/// A store with the usual configuration.
pub fn usual_store() -> StoreServer {
    let store = StoreServer::start(any_port()).expect("a store");
    store.put("op/config", &config(3, &usual_routes()));
    store
}
