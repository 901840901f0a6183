//! Tests of the stream of a connection whose peer sends faster than it is read.

use std::{
    io::Write,
    net::{TcpListener, TcpStream as StdStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use futures_lite::{AsyncReadExt, FutureExt};
use smol::{Timer, net::TcpStream};
use verbenahub_node::connection::MeteredStream;

/// Number of bytes after which the reader gives up.
const MAX_READ_BYTES: u64 = 16 << 20;
/// Time that the reader's task spends on the bytes of one read.
const PROCESSING_TIME: Duration = Duration::from_millis(2);
/// Time after which the other task is due.
const TIMER: Duration = Duration::from_millis(20);

/// A peer that sends without end until its connection is closed.
struct EndlessPeer {
    thread: Option<JoinHandle<()>>,
}

impl EndlessPeer {
    fn start() -> (Self, MeteredStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let client = StdStream::connect(address).expect("a connection");
        let (mut server, _) = listener.accept().expect("a connection");
        let thread = thread::spawn(move || {
            let bytes = vec![b'\n'; 1 << 16];
            // Ends with an error when the reader closes the connection.
            while server.write_all(&bytes).is_ok() {}
        });
        let client = TcpStream::try_from(client).expect("a stream");
        let peer = Self {
            thread: Some(thread),
        };
        (peer, MeteredStream::new(client))
    }
}

impl Drop for EndlessPeer {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the peer was already printed by its thread.
            let _ = thread.join();
        }
    }
}

/// Guards against a connection that keeps its thread from all other tasks and timers
/// because it always has bytes ready.
#[test]
fn timer_fires_while_bytes_are_always_ready() {
    let (_peer, mut stream) = EndlessPeer::start();
    stream.set_read_budget(MAX_READ_BYTES);
    let read_all = async {
        let mut bytes = vec![0; 1 << 16];
        while stream.read(&mut bytes).await.is_ok() {
            // Meanwhile the peer sends more.
            thread::sleep(PROCESSING_TIME);
        }
        "read all"
    };
    let timer = async {
        Timer::after(TIMER).await;
        "timer"
    };
    assert_eq!(smol::block_on(read_all.or(timer)), "timer");
}
