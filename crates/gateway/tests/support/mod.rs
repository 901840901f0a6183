//! Test support: runs gateways as processes, with stand-ins for the platform and
//! its targets, and with callers that read and write raw HTTP/1.1.

#![allow(dead_code)] // Each test file uses a part of this module.

pub mod limit_watch;

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

/// Timeout of waits and reads, so that a test fails instead of hanging.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a loopback address with port 0, so that the system chooses a free port.
pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// Polls until a condition is true. Panics after [`TEST_TIMEOUT`].
pub fn wait_for<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let mut time_left = TEST_TIMEOUT;
    while !condition() {
        assert!(!time_left.is_zero(), "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
        time_left = time_left.saturating_sub(POLL_INTERVAL);
    }
}

#[derive(Default)]
struct LogLines {
    lines: Mutex<Vec<Value>>,
    line_added: Condvar,
}

/// A gateway process. It is killed when the value is dropped.
pub struct GatewayProcess {
    child: Child,
    lines: Arc<LogLines>,
    reader: Option<JoinHandle<()>>,
    pub caller_address: SocketAddr,
    pub readiness_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub metrics_address: SocketAddr,
    _directory: TempDir,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it has logged its addresses.
    pub fn start(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let directory = TempDir::new().expect("a temporary directory is created");
        let node_file = NodeFile {
            node: name.to_owned(),
            zone: "z1".to_owned(),
            store_address: store,
            seeds: seeds.to_vec(),
            peer_address: any_port(),
            grace_period_seconds: 8,
        };
        let node_path = directory.path().join("node.toml");
        fs::write(&node_path, node_file.to_string()).expect("the node file is written");
        let settings_path = directory.path().join("gateway.toml");
        fs::write(&settings_path, "metrics_port = 0\nlog_level = \"debug\"\n")
            .expect("the settings file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_verbenahub-gateway"))
            .arg("--settings")
            .arg(&settings_path)
            .env("VERBENAHUB_NODE_FILE", &node_path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let output = child.stdout.take().expect("the output is piped");
        let lines: Arc<LogLines> = Arc::default();
        let shared_lines = Arc::clone(&lines);
        let reader = thread::spawn(move || {
            for line in BufReader::new(output).lines() {
                let Ok(line) = line else { return };
                let value = serde_json::from_str(&line).expect("a log line is JSON");
                shared_lines
                    .lines
                    .lock()
                    .expect("the lock is not poisoned")
                    .push(value);
                shared_lines.line_added.notify_all();
            }
        });
        let mut process = Self {
            child,
            lines,
            reader: Some(reader),
            caller_address: any_port(),
            readiness_address: any_port(),
            peer_address: any_port(),
            metrics_address: any_port(),
            _directory: directory,
        };
        let started = process.wait_log_line(|line| line["msg"] == "gateway: Started.");
        let address = |name: &str| {
            let text = started[name].as_str().expect("a valid address");
            text.parse().expect("a valid address")
        };
        process.caller_address = address("front");
        process.readiness_address = address("ready");
        process.peer_address = address("peers");
        process.metrics_address = address("metrics");
        process
    }

    /// Starts a gateway and waits until it is ready.
    pub fn start_ready(name: &str, store: SocketAddr) -> Self {
        let process = Self::start(name, store, &[]);
        process.wait_ready();
        process
    }

    /// Starts gateways and waits until each is ready and knows all others.
    pub fn start_fleet(count: usize, store: SocketAddr) -> Vec<Self> {
        let mut fleet: Vec<Self> = Vec::new();
        for index in 0..count {
            let seeds: Vec<_> = fleet.iter().map(|process| process.peer_address).collect();
            fleet.push(Self::start(&format!("n{index}"), store, &seeds));
        }
        for process in &fleet {
            process.wait_ready();
        }
        for process in &fleet {
            process.wait_member_count(count);
        }
        fleet
    }

    /// Waits until the gateway reports `count` members of the fleet.
    pub fn wait_member_count(&self, count: usize) {
        let members = format!("verbenahub_gateway_members {count}");
        wait_for("the members of the fleet", || {
            self.metrics_text().contains(&members)
        });
    }

    /// All metrics in their text format.
    pub fn metrics_text(&self) -> String {
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
        RawResponse::fetch(self.metrics_address, request).text()
    }

    /// Value of a metric without labels, named without its prefix.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.metrics_text();
        let prefix = format!("verbenahub_gateway_{name} ");
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix))?;
        value.parse().ok()
    }

    /// Whether the gateway's readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let response = RawResponse::fetch(
            self.readiness_address,
            "GET /verbenahub/ready HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        response.status == 200
    }

    pub fn wait_ready(&self) {
        wait_for("readiness", || self.is_ready());
    }

    /// Returns the first log line that satisfies a condition, waiting for it if there
    /// is none yet. Panics if no line is logged for [`TEST_TIMEOUT`].
    pub fn wait_log_line<F>(&self, matches: F) -> Value
    where
        F: Fn(&Value) -> bool,
    {
        let mut lines = self.lines.lines.lock().expect("the lock is not poisoned");
        loop {
            if let Some(line) = lines.iter().find(|line| matches(line)) {
                return line.clone();
            }
            let waited = self.lines.line_added.wait_timeout(lines, TEST_TIMEOUT);
            let (next, result) = waited.expect("the lock is not poisoned");
            assert!(!result.timed_out(), "timed out waiting for a log line");
            lines = next;
        }
    }

    /// Returns the lines logged so far.
    pub fn log_lines(&self) -> Vec<Value> {
        self.lines
            .lines
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }

    /// Most memory that the process has used so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the process runs");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        kib.expect("a size").parse::<u64>().expect("a number") * 1_024
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a valid process id");
        let pid = Pid::from_raw(pid).expect("a valid process id");
        kill_process(pid, signal).expect("the signal is sent");
    }

    /// Waits until the process exits. Returns whether its exit status was a success.
    pub fn wait_exit(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// An HTTP response as received, with the chunked encoding of its body removed.
#[derive(Clone, Debug, Default)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body was received up to its end.
    pub is_complete: bool,
}

impl RawResponse {
    /// Sends a request on a new connection and reads the response.
    pub fn fetch(address: SocketAddr, request: &str) -> Self {
        let mut stream = connect(address);
        stream
            .write_all(request.as_bytes())
            .expect("the request is sent");
        Self::read(&mut stream)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads one response. Its status is 0 if the connection ended before the end of
    /// the head.
    pub fn read(stream: &mut TcpStream) -> Self {
        let mut response = Self::default();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match read_byte(stream) {
                Some(byte) => head.push(byte),
                None => return response,
            }
        }
        response.head = String::from_utf8(head).expect("the head is UTF-8");
        let status = response.head.split(' ').nth(1).expect("a status code");
        response.status = status.parse().expect("a status code");
        if response.header("transfer-encoding") == Some("chunked") {
            response.is_complete = read_chunks(stream, &mut response.body);
        } else {
            let length = response
                .header("content-length")
                .expect("a Content-Length header");
            let length: usize = length.parse().expect("Content-Length is a number");
            response.is_complete = read_bytes(stream, length, &mut response.body);
        }
        response
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the connection is accepted");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is set");
    stream
}

fn read_byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    matches!(stream.read(&mut byte), Ok(1)).then_some(byte[0])
}

fn read_bytes(stream: &mut TcpStream, count: usize, body: &mut Vec<u8>) -> bool {
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
        let text = String::from_utf8(line).expect("a chunk size");
        let size = usize::from_str_radix(text.trim(), 16).expect("a chunk size");
        let mut line_end = Vec::new();
        if !read_bytes(stream, size, body) || !read_bytes(stream, 2, &mut line_end) {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// A request that a caller sends to the gateway.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub method: &'static str,
    pub path: String,
    pub attempt_id: String,
    pub api_key: Option<&'static str>,
    pub deadline_ms: u32,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Creates a request without a body, with the API key of the tenant `inn` and a
    /// deadline of 5 s.
    pub fn new(method: &'static str, path: &str, attempt_id: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            attempt_id: attempt_id.to_owned(),
            api_key: Some("key-one"),
            deadline_ms: 5_000,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the request as it is sent. Only POST requests get a body length.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n",
            self.method, self.path, self.attempt_id, self.deadline_ms
        );
        if let Some(key) = self.api_key {
            write!(text, "Authorization: Bearer {key}\r\n").expect("writing to a string succeeds");
        }
        for (name, value) in &self.headers {
            write!(text, "{name}: {value}\r\n").expect("writing to a string succeeds");
        }
        if self.method == "POST" {
            write!(text, "Content-Length: {}\r\n", self.body.len())
                .expect("writing to a string succeeds");
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection, which is returned.
    pub fn send(&self, address: SocketAddr) -> TcpStream {
        let mut stream = connect(address);
        stream
            .write_all(&self.encode())
            .expect("the request is sent");
        stream
    }

    /// Sends the request on a new connection and reads the response.
    pub fn fetch(&self, address: SocketAddr) -> RawResponse {
        RawResponse::read(&mut self.send(address))
    }
}

/// Returns a route in the form in which operators write it.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({
        "Name": name, "Host": "shop.example", "Prefix": prefix, "Kind": kind,
        "TimeoutMs": 5000, "GoalMs": 1000, "Priority": 1, "Service": service,
        "Attempts": attempts, "Stages": [], "Public": false, "Resumable": false,
        "GapTargetMs": 250
    })
}

/// Returns an operator's configuration with the given routes and the services and
/// tenants of the tests.
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

/// Returns the routes that most tests use: one of each kind, and a resumable one.
pub fn default_routes() -> Vec<Value> {
    let mut resumable = route("resumable", "/resume/", "streaming", "pool", 2);
    resumable["Resumable"] = json!(true);
    vec![
        route("book", "/book/", "non_idempotent", "desk", 1),
        route("look", "/look/", "idempotent", "desk", 2),
        route("tell", "/tell/", "streaming", "pool", 1),
        resumable,
    ]
}

/// Registers a target in the store as ready.
pub fn register(store: &StoreServer, id: &str, service: &str, address: SocketAddr) {
    register_with_state(store, id, service, address, "ready");
}

/// Registers a target in the store with a state.
pub fn register_with_state(
    store: &StoreServer,
    id: &str,
    service: &str,
    address: SocketAddr,
    state: &str,
) {
    let mut record = target_record(service, address);
    record["State"] = json!(state);
    store.put(&format!("servers/{id}"), &record);
}

/// Returns the record of a ready target in the zone `z1`.
pub fn target_record(service: &str, address: SocketAddr) -> Value {
    json!({
        "Service": service, "Address": address.to_string(), "Zone": "z1", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": 1
    })
}

/// Starts targets of a service, whose replies the script computes, and registers
/// them. Their ids are the prefix and an index.
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
    let targets = (0..count).map(|index| {
        let id = format!("{prefix}{index}");
        let target = PlainTarget::start(any_port(), &id, log, script.clone());
        let target = target.expect("the target starts");
        register(store, &id, service, target.server().address());
        target
    });
    targets.collect()
}

/// Starts a store that holds a configuration with the default routes.
pub fn default_store() -> StoreServer {
    let store = StoreServer::start(any_port()).expect("the store starts");
    store.put("op/config", &config(3, &default_routes()));
    store
}
