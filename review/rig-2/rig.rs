//! Stand-ins and helpers of the cases 6 to 10: the platform's store, an HTTP server
//! and client, and gateways that run as processes. Only the standard library.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{Read, Write},
    os::unix::process::CommandExt,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether the disruption is left out.
pub fn calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Writes `record.txt` of a case, with the time since the start of the script.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt is written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn both(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the folder of the case is the first argument"))
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn read_exact(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> Option<Vec<u8>> {
    let mut chunk = [0; 8192];
    while buffer.len() < count {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
        }
    }
    Some(buffer.drain(..count).collect())
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let line: Vec<&str> = head.split("\r\n").next()?.split(' ').collect();
    let is_valid = line.len() == 3 && line[2].starts_with("HTTP/1.");
    let mut request = Request {
        // A request line that isn't one is left to the handler, which knows no such method.
        method: if is_valid { line[0].to_owned() } else { "invalid".to_owned() },
        target: if is_valid { line[1].to_owned() } else { line.join(" ") },
        headers: parse_headers(&head),
        body: Vec::new(),
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = read_exact(stream, buffer, length)?;
    Some(request)
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the response arrived up to its end.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a response. Its status is 0 if none came.
pub fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Response {
    let Some(head) = read_head(stream, buffer) else { return Response::default() };
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut response = Response { status, headers: parse_headers(&head), ..Response::default() };
    if response.header("transfer-encoding").is_some() {
        loop {
            let Some(line) = read_line(stream, buffer) else { return response };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return response };
            let Some(bytes) = read_exact(stream, buffer, size + 2) else { return response };
            response.body.extend_from_slice(&bytes[..size]);
            if size == 0 {
                response.complete = true;
                return response;
            }
        }
    }
    let length = response.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    if let Some(body) = read_exact(stream, buffer, length) {
        response.body = body;
        response.complete = true;
    }
    response
}

fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|part| part == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 2);
            return Some(line);
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// A server with one thread for each connection. `handle` answers a request on the
/// stream and returns whether the connection is kept.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<Handle>(handle: Handle) -> Arc<Self>
    where
        Handle: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        Self::start_at("127.0.0.1:0".parse().unwrap(), handle)
    }

    pub fn start_at<Handle>(address: SocketAddr, handle: Handle) -> Arc<Self>
    where
        Handle: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).expect("a port is free");
        let server = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            open: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        });
        let (own, handle) = (Arc::clone(&server), Arc::new(handle));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !own.open.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                own.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let handle = Arc::clone(&handle);
                thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while let Some(request) = read_request(&mut stream, &mut buffer) {
                        if !handle(&request, &mut stream) {
                            break;
                        }
                    }
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    /// Ends the server: its connections are closed, and new ones are refused.
    pub fn stop(&self) {
        self.open.store(false, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

pub fn reply(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).is_ok()
}

/// Decodes the percent-encoding of a query.
fn decode(text: &str) -> String {
    let (bytes, mut index, mut out) = (text.as_bytes(), 0, Vec::new());
    while index < bytes.len() {
        let code = text.get(index + 1..index + 3).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(code)) => {
                out.push(code);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    value: Option<String>,
}

impl Change {
    fn json(&self) -> String {
        match &self.value {
            Some(value) => format!(
                "{{\"Key\":\"{}\",\"Value\":\"{}\",\"Revision\":{},\"CreatedRev\":{},\"Lease\":0}}",
                self.key, base64(value.as_bytes()), self.revision, self.revision
            ),
            None => format!("{{\"Key\":\"{}\",\"Revision\":{},\"Tombstone\":true}}", self.key, self.revision),
        }
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    /// Number of times that all waiting watches were cut.
    cuts: u64,
}

/// The platform's store, as far as the system reads it.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub address: Mutex<Option<SocketAddr>>,
    /// Most items on a page.
    pub page: AtomicUsize,
    /// Calls that were answered 400.
    pub rejected: AtomicUsize,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState { revision: 7, ..StoreState::default() }),
            changed: Condvar::new(),
            address: Mutex::new(None),
            page: AtomicUsize::new(500),
            rejected: AtomicUsize::new(0),
        });
        let own = Arc::clone(&store);
        let server = Server::start(move |request, stream| own.answer(request, stream));
        *store.address.lock().unwrap() = Some(server.address);
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.address.lock().unwrap().unwrap()
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let change = Change { key: key.to_owned(), revision: state.revision, value };
        if change.value.is_some() {
            state.items.insert(key.to_owned(), change.clone());
        } else {
            state.items.remove(key);
        }
        state.history.push(change);
        drop(state);
        self.changed.notify_all();
    }

    /// Cuts all watches that wait now.
    pub fn cut_watches(&self) {
        self.state.lock().unwrap().cuts += 1;
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let json = [("Content-Type", "application/json")];
        if request.method != "GET" {
            self.rejected.fetch_add(1, Ordering::SeqCst);
            reply(stream, "400 Bad Request", &json, b"{}");
            return false;
        }
        let prefix = decode(request.query("Prefix").unwrap_or(""));
        let prefix = prefix.as_str();
        match request.path() {
            "/verbenahub/kv-range" => {
                let state = self.state.lock().unwrap();
                let after = decode(request.query("After").unwrap_or(""));
                let mut found: Vec<&Change> = state.items.values().filter(|item| item.key.starts_with(prefix) && item.key > after).collect();
                let more = found.len() > self.page.load(Ordering::SeqCst);
                found.truncate(self.page.load(Ordering::SeqCst));
                let items: Vec<String> = found.iter().map(|item| item.json()).collect();
                let body = format!("{{\"Items\":[{}],\"HasMore\":{more},\"StoreRevision\":{}}}", items.join(","), state.revision);
                drop(state);
                reply(stream, "200 OK", &json, body.as_bytes())
            }
            "/verbenahub/kv-watch" => {
                let after: u64 = request.query("After").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = request.query("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + ms(wait);
                let mut state = self.state.lock().unwrap();
                let cuts = state.cuts;
                loop {
                    let events: Vec<String> = state.history.iter().filter(|change| change.revision > after && change.key.starts_with(prefix)).map(Change::json).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!("{{\"events\":[{}],\"StoreRevision\":{}}}", events.join(","), state.revision);
                        drop(state);
                        return reply(stream, "200 OK", &json, body.as_bytes());
                    }
                    if state.cuts != cuts {
                        return false;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => reply(stream, "404 Not Found", &json, b"{}"),
        }
    }
}

pub fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
}

/// A gateway process, started with the command of the deploy file and settings like
/// those of the small deployments. Killed when it is dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub child: Child,
}

pub struct Fleet {
    pub gateways: Vec<Gateway>,
    pub folder: PathBuf,
}

pub const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 58\nRecoverS = 12\nPassMs = 120\nReuseWindowS = 7.1\n";

impl Fleet {
    /// Starts `count` gateways in three zones. Each reads the store at
    /// `store(index)`, so that a proxy can stand between.
    pub fn start<At>(count: usize, store: At) -> Self
    where
        At: Fn(usize) -> SocketAddr,
    {
        let folder = std::env::temp_dir().join(format!("verbenahub-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder is created");
        let ports = free_ports(count * 4);
        let seeds: Vec<String> = (0..count.min(3)).map(|index| format!("\"127.0.0.1:{}\"", ports[index * 4 + 2])).collect();
        let mut gateways = Vec::new();
        for index in 0..count {
            let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
            let name = format!("frontend-{zone}-{}", index / 3 + 1);
            let at = |offset: usize| -> SocketAddr { format!("127.0.0.1:{}", ports[index * 4 + offset]).parse().unwrap() };
            let node = format!(
                "Node = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"frontend\"\nServes = [\"frontend\",\"control_plane\"]\nIp = \"127.0.0.1\"\nZone = \"{zone}\"\nRegion = \"here\"\nInternalPorts = [7740,7755]\nSeeds = [{}]\nBootstrap = true\nLossCounts = false\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"stages\"]\n[Zones]\nzone-a = \"here\"\nzone-b = \"here\"\nzone-c = \"here\"\n[Listen]\nFront = \"{}\"\nReady = \"{}\"\nControl = \"{}\"\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n[Bounds]\n{BOUNDS}[Platform]\nAddress = \"{}\"\nform = \"read\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
                seeds.join(","), at(0), at(1), at(2), store(index)
            );
            let node_path = folder.join(format!("{name}.toml"));
            fs::write(&node_path, node).unwrap();
            // The programs share one address here, so that each needs a metrics port of its own.
            let settings = folder.join(format!("{name}-gateway.toml"));
            fs::write(&settings, format!("log_level = \"info\"\nmetrics_port = {}\n", ports[index * 4 + 3])).unwrap();
            gateways.push(Gateway {
                child: spawn(&node_path, &settings, &folder.join(format!("{name}.log"))),
                name,
                front: at(0),
                ready: at(1),
                control: at(2),
            });
        }
        Self { gateways, folder }
    }

    /// Waits until all gateways are ready. Ends the script with status 2 if they
    /// aren't in time.
    pub fn wait_ready(&self) {
        let end = Instant::now() + ms(20_000);
        for gateway in &self.gateways {
            while !gateway.is_ready() {
                if Instant::now() > end {
                    println!("a gateway did not become ready");
                    std::process::exit(2);
                }
                thread::sleep(ms(50));
            }
        }
    }

    pub fn restart(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let name = gateway.name.clone();
        gateway.child = spawn(
            &self.folder.join(format!("{name}.toml")),
            &self.folder.join(format!("{name}-gateway.toml")),
            &self.folder.join(format!("{name}-{}.log", std::process::id())),
        );
    }

    pub fn log_of(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.gateways[index].name))).unwrap_or_default()
    }
}

fn spawn(node: &Path, settings: &Path, log: &Path) -> Child {
    let program = std::env::var("GATEWAY").unwrap_or_else(|_| "target/release/verbenahub-gateway".to_owned());
    let mut command = Command::new(program);
    command.arg("--settings").arg(settings).env("VERBENAHUB_NODE_FILE", node);
    command.stdout(Stdio::from(File::create(log).unwrap())).stderr(Stdio::inherit());
    // SAFETY: `prctl` is safe to call between fork and exec.
    unsafe {
        // A gateway ends with the test, also when the test is killed.
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn().unwrap_or_else(|error| {
        println!("the gateway does not start: {error}");
        std::process::exit(2);
    })
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let request = b"GET /verbenahub/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.ready, request, ms(500)).is_some_and(|response| response.status == 200)
    }

    pub fn signal(&self, number: i32) {
        send_signal(self.child.id(), number);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    Some(read_response(&mut stream, &mut Vec::new()))
}

/// A caller's connection that is kept for many requests.
pub struct Channel {
    pub address: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None, buffer: Vec::new() }
    }

    pub fn call(&mut self, request: &[u8], timeout: Duration) -> Response {
        if self.stream.is_none() {
            self.buffer.clear();
            self.stream = TcpStream::connect_timeout(&self.address, ms(1_000)).ok();
        }
        let Some(stream) = &mut self.stream else { return Response::default() };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(timeout));
        if stream.write_all(request).is_err() {
            self.stream = None;
            return Response::default();
        }
        let response = read_response(stream, &mut self.buffer);
        let closes = response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !response.complete || closes {
            self.stream = None;
        }
        response
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal, by its number on Linux, to a process that the test started.
pub fn send_signal(process: u32, number: i32) {
    // SAFETY: `kill` only takes two numbers, and the process is a child that was not waited for.
    unsafe { kill(process as i32, number) };
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new `Attempt-Id`.
pub fn new_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{:08x}", std::process::id(), number)
}

/// The head of a request; `extra` holds further lines, each with its end.
pub fn request(method: &str, path: &str, host: &str, id: &str, deadline: u64, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Entry of a replica in the store.
pub fn entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str, born: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":1,\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Sequence\":3,\"born\":{born}}}"
    )
}
