//! Stand-ins of the review: the platform's store, replicas, requesters, and the start
//! of gateways as separate processes. Uses the standard library only.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Key that requesters send; it belongs to the tenant `inn`.
pub const API_KEY: &str = "key-one";
/// Time after which a case that hangs ends as one that could not run.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn pause(millis: u64) {
    thread::sleep(ms(millis));
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn note(&self, text: impl AsRef<str>) {
        let time = self.start.elapsed().as_millis();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{time:>6} ms  {}", text.as_ref());
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// State of one run of a case. Processes are ended when it is dropped.
pub struct Case {
    pub record: Record,
    pub trouble: bool,
    pub store: Store,
    folder: PathBuf,
    octets: (u8, u8),
}

/// Gateways that were started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

impl Case {
    /// Starts the store. `folder` gets `record.txt`.
    pub fn start(folder: &str) -> Self {
        let path = PathBuf::from(folder);
        let file = File::create(path.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("record.txt: {error}");
            std::process::exit(2)
        });
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        };
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |time| time.subsec_nanos());
        let temporary =
            std::env::temp_dir().join(format!("verbenahub-review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&temporary).expect("temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.note(format!(
            "disruption: {}",
            if trouble { "on" } else { "off" }
        ));
        let note = record.clone();
        let watched_folder = temporary.clone();
        thread::spawn(move || {
            thread::sleep(CASE_TIMEOUT);
            note.note("the case took too long");
            end_all();
            let _ = fs::remove_dir_all(&watched_folder);
            std::process::exit(2);
        });
        let octets = (
            u8::try_from(nanos / 1_000 % 200).unwrap_or(1) + 20,
            u8::try_from(nanos / 200_000 % 200).unwrap_or(1) + 20,
        );
        Self {
            record,
            trouble,
            store: Store::start(),
            folder: temporary,
            octets,
        }
    }

    /// Starts a gateway with the command of the deploy file, on a loopback address of
    /// its own, so that the metrics port of the settings is free.
    pub fn start_gateway(&self, number: u8, zone: &str, seeds: &[SocketAddr]) -> Gateway {
        let ip = Ipv4Addr::new(127, self.octets.0, self.octets.1, number + 1);
        let port = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (front, ready, control) = (port(), port(), port());
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "Node = \"frontend-{zone}-{number}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\n\
             Serves = [\"frontend\", \"control_plane\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\n\
             Region = \"us-south\"\nInternalPorts = [7740, 7755]\nSeeds = [{}]\nBootstrap = true\n\
             LossCounts = false\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n\
             [Listen]\nFront = \"{front}\"\nReady = \"{ready}\"\nControl = \"{control}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n\
             DiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\n\
             CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             RollbackSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 58\nRecoverS = 12\n\
             PassMs = 120\nReuseWindowS = 7.1\n\
             [Platform]\nAddress = \"{}\"\nform = \"read\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            seeds.join(", "),
            self.store.address,
        );
        let path = self.folder.join(format!("node-{number}.toml"));
        fs::write(&path, text).expect("the node file is written");
        let log = File::create(self.folder.join(format!("log-{number}.txt"))).expect("a log");
        let child = Command::new("target/release/verbenahub-gateway")
            .args(["--settings", "deploy/gateway.toml"])
            .env("VERBENAHUB_NODE_FILE", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => self.cannot_run(&format!("the gateway does not start: {error}")),
        };
        lock(&CHILDREN).push(child);
        Gateway { front, ready }
    }

    /// Waits until a gateway answers its readiness check with 200.
    pub fn wait_ready(&self, gateway: &Gateway) {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            if gateway.is_ready(ms(1_000)) {
                return;
            }
            pause(50);
        }
        self.cannot_run("a gateway did not become ready");
    }

    pub fn cannot_run(&self, why: &str) -> ! {
        self.record.note(format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.clean();
        std::process::exit(2)
    }

    /// Ends the processes and exits: 1 if the rule was broken, else 0.
    pub fn finish(self, broken: bool, summary: &str) -> ! {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.record.note(format!("{verdict}: {summary}"));
        println!("{verdict}: {summary}");
        self.clean();
        std::process::exit(i32::from(broken))
    }

    fn clean(&self) {
        end_all();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Ends the gateways that were started.
pub fn end_all() {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Addresses of a gateway process.
#[derive(Clone)]
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Gateway {
    pub fn is_ready(&self, patience: Duration) -> bool {
        let request = "GET /verbenahub/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let Ok(mut channel) = Channel::open(self.ready) else {
            return false;
        };
        channel.send(request.as_bytes());
        channel
            .read_answer(Instant::now() + patience)
            .is_some_and(|answer| answer.status == 200)
    }
}

/// A message head and body as received.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Number of the call on its channel, from 0.
    pub number: usize,
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header("Attempt-Id").unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An answer as a requester received it, with the chunked encoding removed.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer was received up to its end.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A TCP connection with a buffer of received bytes.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, ms(1_000))?))
    }

    /// Sends bytes. Returns whether the peer still takes them.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn read_more(&mut self, until: Option<Instant>) -> bool {
        if let Some(until) = until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return false;
            }
        }
        let mut bytes = [0; 65_536];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }

    fn take_line(&mut self, until: Option<Instant>) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.read_more(until) {
                return None;
            }
        }
    }

    fn take_headers(&mut self, until: Option<Instant>) -> Option<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.take_line(until)?;
            if line.is_empty() {
                return Some(headers);
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    fn take_bytes(&mut self, count: usize, until: Option<Instant>) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.read_more(until) {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the next call. `None` at the end of the channel.
    pub fn read_call(&mut self, number: usize) -> Option<Call> {
        let line = self.take_line(None)?;
        let mut words = line.split(' ');
        let target = words.nth(1)?.to_owned();
        let headers = self.take_headers(None)?;
        let length = find_header(&headers, "Content-Length").and_then(|text| text.parse().ok());
        let body = self.take_bytes(length.unwrap_or(0), None)?;
        Some(Call {
            target,
            headers,
            body,
            number,
        })
    }

    /// Reads the head of an answer.
    pub fn read_head(&mut self, until: Instant) -> Option<Answer> {
        let line = self.take_line(Some(until))?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let headers = self.take_headers(Some(until))?;
        Some(Answer {
            status,
            headers,
            ..Answer::default()
        })
    }

    /// Reads an answer. `None` if no head has come by then.
    pub fn read_answer(&mut self, until: Instant) -> Option<Answer> {
        let mut answer = self.read_head(until)?;
        if answer.header("Transfer-Encoding").is_some() {
            loop {
                let Some(size) = self.take_line(Some(until)) else {
                    return Some(answer);
                };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Some(answer);
                };
                let Some(bytes) = self.take_bytes(size + 2, Some(until)) else {
                    answer.body.append(&mut self.buffer);
                    return Some(answer);
                };
                answer.body.extend_from_slice(&bytes[..size]);
                if size == 0 {
                    answer.is_complete = true;
                    return Some(answer);
                }
            }
        }
        let length = answer.header("Content-Length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        if let Some(body) = self.take_bytes(length, Some(until)) {
            answer.body = body;
            answer.is_complete = true;
        }
        Some(answer)
    }

    /// Whether the peer has closed the channel.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves each channel on a thread. `handle` returns whether the channel is kept.
pub fn serve<Handle>(handle: Handle) -> SocketAddr
where
    Handle: Fn(&mut Channel, Call) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut channel = Channel::new(stream);
                let mut number = 0;
                while let Some(call) = channel.read_call(number) {
                    number += 1;
                    if !handle(&mut channel, call) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Encodes an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A replica's signed success.
pub fn signed(call: &Call, body: &str) -> Vec<u8> {
    let headers = [("Attempt-Id", call.id()), ("Response-Signature", "3e1b.07")];
    answer("200 OK", &headers, body.as_bytes())
}

/// Head of a signed stream in chunks.
pub fn stream_head(call: &Call) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: 3e1b.07\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        call.id()
    )
    .into_bytes()
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

pub fn event(call: &Call, number: u64) -> String {
    format!("id: {number}\ndata: {} {number}\n\n", call.id())
}

/// Answers 421 if the call names another replica.
pub fn is_misdirected(channel: &mut Channel, call: &Call, id: &str) -> bool {
    let expected = call.header("Expect-Instance");
    if expected.is_none_or(|expected| expected == id) {
        return false;
    }
    let headers = [
        ("Attempt-Id", call.id()),
        ("Not-Executed", "1"),
        ("Instance-Id", id),
    ];
    channel.send(&answer("421 Misdirected Request", &headers, b""));
    true
}

struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    history: Vec<Change>,
}

/// The platform's store, which gateways read over HTTP.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        lock(&state.0).revision = 1;
        let shared = Arc::clone(&state);
        let address = serve(move |channel, call| {
            let (status, body) = answer_store(&shared, &call);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            channel.send(&answer(status, &headers, body.as_bytes()))
        });
        Self { address, state }
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<&str>) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => {
                let item = (base64(value.as_bytes()), revision);
                state.items.insert(key.to_owned(), item);
            }
            None => drop(state.items.remove(key)),
        }
        state.history.push(Change {
            key: key.to_owned(),
            value: value.map(|value| base64(value.as_bytes())),
            revision,
        });
        self.state.1.notify_all();
    }

    /// Registers a replica.
    pub fn register(&self, id: &str, service: &str, zone: &str, slots: u32, address: SocketAddr) {
        self.register_as(id, service, zone, slots, address, "ready");
    }

    pub fn register_as(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        address: SocketAddr,
        state: &str,
    ) {
        let value = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\
             \"Sequence\":1,\"born\":1700000000000}}"
        );
        self.put(&format!("servers/{id}"), &value);
    }
}

fn answer_store(shared: &(Mutex<StoreState>, Condvar), call: &Call) -> (&'static str, String) {
    let mut state = lock(&shared.0);
    let item = |key: &str, value: &str, revision: u64| {
        format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
             \"CreatedRev\":{revision},\"Lease\":0}}"
        )
    };
    match call.path() {
        "/verbenahub/kv-range" => {
            let after = call.parameter("After").unwrap_or_default();
            let prefix = call.parameter("Prefix").unwrap_or_default();
            let items = state.items.iter();
            let items: Vec<String> = items
                .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                .map(|(key, (value, revision))| item(key, value, *revision))
                .collect();
            let body = format!(
                "{{\"Items\":[{}],\"HasMore\":false,\"StoreRevision\":{}}}",
                items.join(","),
                state.revision
            );
            ("200 OK", body)
        }
        "/verbenahub/kv-watch" => {
            let number = |name| call.parameter(name).and_then(|text| text.parse().ok());
            let after: u64 = number("After").unwrap_or_default();
            let until = Instant::now() + ms(number("WaitMs").unwrap_or_default());
            let prefix = call.parameter("Prefix").unwrap_or_default();
            loop {
                let changes = state.history.iter();
                let events: Vec<String> = changes
                    .filter(|change| change.revision > after && change.key.starts_with(prefix))
                    .map(|change| match &change.value {
                        Some(value) => item(&change.key, value, change.revision),
                        None => format!(
                            "{{\"Key\":\"{}\",\"Revision\":{},\"Tombstone\":true}}",
                            change.key, change.revision
                        ),
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let body = format!(
                        "{{\"events\":[{}],\"StoreRevision\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return ("200 OK", body);
                }
                let waited = shared.1.wait_timeout(state, left);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_usize;
        for index in 0..3 {
            number = number << 8 | usize::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(DIGITS[number >> (18 - 6 * index) & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A route as the operator writes it. `rest` holds further fields, each with a comma
/// before it.
pub fn route(
    prefix: &str,
    kind: &str,
    service: &str,
    timeout: u32,
    goal: u32,
    rest: &str,
) -> String {
    format!(
        "{{\"Name\":\"r{}\",\"Host\":\"shop.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout},\"GoalMs\":{goal},\"Priority\":1,\"Service\":\"{service}\",\
         \"Public\":false,\"GapTargetMs\":250{rest}}}",
        prefix.replace('/', "-"),
    )
}

/// A configuration with the services of a small deployment.
pub fn config(version: u32, routes: &[String]) -> String {
    let stage = |name: &str, batch: u32, item: f64, room: f64| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":630,\"Protocol\":\"h1\",\
             \"Tls\":false,\"Pieces\":{{\"Slots\":1,\"Queue\":2,\"Batch\":{batch},\"CallMs\":150.0,\
             \"ItemMs\":{item},\"HeadroomMb\":{room},\"HandleS\":4.0,\"LinkMbps\":10000}}}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[\
         {{\"Name\":\"pool\",\"HealthPath\":\"/health\",\"MaxConns\":630,\"Protocol\":\"h1\",\
         \"Tls\":false,\"Engine\":{{\"Slots\":128,\"KvCapacity\":607517,\"KvTokenBytes\":96256,\
         \"LinkMbps\":1100000.0,\"Models\":[{{\"Name\":\"m\"}}]}}}},{},{},\
         {{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"inn\",\"ApiKeys\":[\"{API_KEY}\"],\"Priority\":1}}]}}",
        routes.join(","),
        stage("roster", 10, 13.0, 58.0),
        stage("ledger", 44, 2.9, 7.9),
    )
}

/// Encodes a requester's request.
pub fn request(method: &str, path: &str, id: &str, deadline: u64, rest: &str) -> Vec<u8> {
    let length = if method == "POST" {
        "Content-Length: 2\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "{}" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline}\r\nAuthorization: Bearer {API_KEY}\r\n{rest}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Headers of a prompt that shares no part with those of other numbers.
pub fn prompt(own: u64) -> String {
    let shared = own * 7_919 + 0x5c1e_07a2;
    format!("Model: m\r\nToken-Counts: 250,80\r\nPrompt-Prefix: {shared:x}:800,{own:x}:250\r\n")
}
