//! A node that answers what a test tells it to.

#![allow(dead_code)] // Each test file uses a part of this module.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// How often a waiting connection looks whether the node has ended.
const POLL: Duration = Duration::from_millis(20);
/// Paths of requests; the others read a node's figures.
const PIPELINE_PREFIX: &str = "/v1/pipelines/";

/// One call that came to a fake node.
#[derive(Clone, Debug)]
pub struct FakeCall {
    /// Path of the call.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Number of calls to this node before.
    pub number: usize,
}

/// What a fake node does about a call.
#[derive(Clone, Debug)]
pub enum FakeReply {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Says nothing and keeps the connection.
    Silence,
}

type Script = Box<dyn Fn(&FakeCall) -> FakeReply + Send + Sync>;

struct Shared {
    script: Script,
    calls: Mutex<Vec<FakeCall>>,
    in_flight: Mutex<OpenCalls>,
    stop: AtomicBool,
}

/// Requests that have no answer yet and whose caller still waits.
#[derive(Default)]
struct OpenCalls {
    streams: Vec<TcpStream>,
    most: usize,
}

impl OpenCalls {
    /// Counts a call. Calls whose caller has closed the connection count no
    /// longer, also if the thread that serves them has not seen it yet.
    fn begin(&mut self, stream: &TcpStream) {
        self.streams.retain(|open| !has_left(open));
        self.streams.push(stream.try_clone().expect("a handle"));
        self.most = self.most.max(self.streams.len());
    }

    fn end(&mut self, stream: &TcpStream) {
        let address = stream.peer_addr().ok();
        self.streams.retain(|open| open.peer_addr().ok() != address);
    }
}

fn has_left(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("an option");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("an option");
    matches!(peeked, Ok(0))
}

/// A listener with a script. Ends when it is dropped.
pub struct FakeNode {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl FakeNode {
    pub fn start<F>(script: F) -> Self
    where
        F: Fn(&FakeCall) -> FakeReply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            script: Box::new(script),
            calls: Mutex::default(),
            in_flight: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let accepted = Arc::clone(&shared);
        let acceptor = Some(thread::spawn(move || accept(&listener, &accepted)));
        Self {
            address,
            shared,
            acceptor,
        }
    }

    /// The most requests that were in flight at the same time.
    pub fn most_in_flight(&self) -> usize {
        self.shared.in_flight.lock().expect("open calls").most
    }

    pub fn calls(&self) -> Vec<FakeCall> {
        self.shared.calls.lock().expect("calls").clone()
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().expect("the acceptor");
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut connections = Vec::new();
    for stream in listener.incoming() {
        if shared.stop.load(Ordering::Relaxed) {
            break;
        }
        let shared = Arc::clone(shared);
        let stream = stream.expect("a connection");
        connections.push(thread::spawn(move || serve(stream, &shared)));
    }
    for connection in connections {
        connection.join().expect("a connection");
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    stream.set_read_timeout(Some(POLL)).expect("a timeout");
    while let Some(call) = read_call(&mut stream, shared) {
        if call.path.starts_with(PIPELINE_PREFIX) {
            shared.in_flight.lock().expect("open calls").begin(&stream);
        }
        let reply = (shared.script)(&call);
        if !matches!(reply, FakeReply::Silence) {
            shared.in_flight.lock().expect("open calls").end(&stream);
        }
        match reply {
            FakeReply::Send(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            FakeReply::SendAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            FakeReply::Silence => {}
        }
    }
}

fn read_call(stream: &mut TcpStream, shared: &Shared) -> Option<FakeCall> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.extend(read_some(stream, 1, shared)?);
    }
    let text = String::from_utf8(head).expect("a head");
    let length = text
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.trim().parse().expect("a length"));
    let body = read_some(stream, length, shared)?;
    let path = text.split(' ').nth(1).expect("a path").to_owned();
    let mut calls = shared.calls.lock().expect("calls");
    let number = calls.len();
    let call = FakeCall { path, body, number };
    calls.push(call.clone());
    Some(call)
}

fn read_some(stream: &mut TcpStream, length: usize, shared: &Shared) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match stream.read(&mut bytes[filled..]) {
            Ok(0) => return None,
            Ok(count) => filled += count,
            Err(_) if shared.stop.load(Ordering::Relaxed) => return None,
            Err(_) => {}
        }
    }
    Some(bytes)
}

/// An answer with a body.
pub fn answer(status: &str, headers: &str, body: &str) -> FakeReply {
    FakeReply::Send(raw(status, headers, body, body.len()))
}

/// An answer that says it is longer than it is, and a closed connection.
pub fn cut_answer(status: &str, headers: &str, body: &str) -> FakeReply {
    FakeReply::SendAndClose(raw(status, headers, body, body.len() + 1_000))
}

fn raw(status: &str, headers: &str, body: &str, length: usize) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}
