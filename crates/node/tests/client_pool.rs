//! Tests of calls to targets whose responses never end or break off.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread::{self, JoinHandle},
};

use futures_lite::AsyncBufReadExt;
use http_types::{Method, Request, Url};
use verbenahub_core::{clock::TimeSpan, units::ByteSize};
use verbenahub_node::connection::{ClientPool, ConnectionChoice};

/// Timeout of calls, so that a test fails instead of hanging.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);
/// Bytes that a target can send at most before it notices that nobody reads: the
/// socket buffers of both sides.
const MAX_SENT_BYTES: usize = 16 << 20;
/// Bytes of a line that the caller allows.
const LINE_BYTES: u64 = 256 << 10;

/// A target that responds to one request with a prefix and then the same part without
/// end. Joined for the number of bytes that it could send.
struct EndlessTarget {
    address: SocketAddr,
    thread: JoinHandle<usize>,
}

impl EndlessTarget {
    fn start(prefix: &'static [u8], part: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let thread = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let read = stream.read(&mut [0; 4_096]).expect("a request");
            assert!(read > 0, "a request");
            let mut sent = 0;
            if stream.write_all(prefix).is_ok() {
                // Ends with an error when the caller closes the connection.
                while stream.write_all(&part).is_ok() {
                    sent += part.len();
                }
            }
            sent
        });
        Self { address, thread }
    }

    fn request(&self) -> Request {
        let url = Url::parse(&format!("http://{}/", self.address)).expect("a URL");
        Request::new(Method::Get, url)
    }

    fn join(self) -> usize {
        self.thread.join().expect("the target does not panic")
    }
}

/// Guards against a head without line ends, which was kept up to 64 MiB a call.
#[test]
fn head_without_an_end_is_not_kept() {
    for part in [vec![b'x'; 4_096], b"x: y\r\n".repeat(500)] {
        let target = EndlessTarget::start(b"HTTP/1.1 200 OK\r\nx: ", part);
        let (pool, request) = (ClientPool::default(), target.request());
        let choice = ConnectionChoice::Fresh;
        let call = pool.call(target.address, request, choice, CALL_TIMEOUT);
        let is_error = smol::block_on(call).is_err();
        drop(pool);
        assert!(is_error);
        assert!(target.join() < MAX_SENT_BYTES);
    }
}

/// Guards against a line of a stream without an end, which was kept up to 64 MiB a call.
#[test]
fn line_without_an_end_is_not_kept() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let part = [b"1000\r\n".as_slice(), &[b'x'; 4_096], b"\r\n"].concat();
    let target = EndlessTarget::start(head, part);
    let (pool, request) = (ClientPool::default(), target.request());
    let choice = ConnectionChoice::Fresh;
    let is_error = smol::block_on(async {
        let call = pool.call(target.address, request, choice, CALL_TIMEOUT);
        let mut response = call.await.expect("a head");
        let mut body = response.response_mut().take_body();
        response.set_read_budget(LINE_BYTES);
        body.read_until(b'\n', &mut Vec::new()).await.is_err()
    });
    assert!(is_error);
    drop(pool);
    assert!(target.join() < MAX_SENT_BYTES);
}

/// Calls a target that sends `bytes` as its response and closes the connection. Returns
/// the body if the call succeeds.
fn call_closing_target(bytes: &[u8]) -> Option<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sent = bytes.to_vec();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4_096]).expect("a request");
        assert!(read > 0, "a request");
        stream.write_all(&sent).expect("the response is sent");
    });
    let url = Url::parse(&format!("http://{address}/")).expect("a URL");
    let pool = ClientPool::default();
    let body = smol::block_on(async {
        let request = Request::new(Method::Get, url);
        let choice = ConnectionChoice::Fresh;
        let call = pool.call(address, request, choice, CALL_TIMEOUT);
        let response = call.await.ok()?;
        let body = response
            .into_body(ByteSize::from_kib(64), CALL_TIMEOUT)
            .await;
        body.ok().map(|bytes| bytes.to_vec())
    });
    thread.join().expect("the target does not panic");
    body
}

/// Guards against a success with an empty or short body after a response that stopped
/// in its head or body.
#[test]
fn response_that_is_cut_at_any_byte_is_no_success() {
    let head = "HTTP/1.1 200 OK\r\nx-own: y\r\n";
    let responses = [
        format!("{head}Content-Length: 5\r\n\r\nwhole"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
    ];
    for response in responses {
        // The body has ended with the last chunk. Only the end of its trailers, of which
        // there are none, would follow.
        let end = response
            .strip_suffix("0\r\n\r\n")
            .map_or(response.len(), |start| start.len() + "0\r\n".len());
        for length in 0..end {
            let body = call_closing_target(&response.as_bytes()[..length]);
            assert_eq!(body, None, "{length} bytes of {response:?}");
        }
        let body = call_closing_target(response.as_bytes());
        assert_eq!(body.as_deref(), Some(b"whole".as_slice()));
    }
}

/// Guards against a response without a length whose body is taken for empty.
#[test]
fn response_without_a_length_is_no_success_with_an_empty_body() {
    for declared in ["", "Transfer-Encoding: gzip\r\n"] {
        let response = format!("HTTP/1.1 200 OK\r\n{declared}\r\nwhole");
        assert_eq!(call_closing_target(response.as_bytes()), None, "{declared}");
    }
    let empty = call_closing_target(b"HTTP/1.1 204 No Content\r\nx-own: y\r\n\r\n");
    assert_eq!(empty.as_deref(), Some(b"".as_slice()));
}

/// Guards against a head that is not that of a final HTTP response.
#[test]
fn response_with_an_invalid_head_is_no_answer() {
    let framing = "Content-Length: 5\r\n";
    let statuses = [
        "000", "001", "099", "100", "101", "102", "199", "600", "999", "20", "2x0",
    ];
    let mut responses: Vec<Vec<u8>> = statuses
        .iter()
        .map(|status| format!("HTTP/1.1 {status} Trouble\r\n{framing}\r\nwhole").into_bytes())
        .collect();
    for line in [
        b"Odd Name: x".as_slice(),
        b"Odd : x",
        b" Odd: x",
        b"O\x00dd: x",
        b"O\x01dd: x",
        b"O\x7fdd: x",
        b"O\rdd: x",
        b"O\xc3\xa9dd: x",
        b": x",
        b"Odd",
        b"Content-Length : 3",
        b"Odd: x\x00",
        b"Odd: x\x01",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}");
        responses.push([head.as_bytes(), line, b"\r\n\r\nwhole"].concat());
    }
    for response in responses {
        let case = response.escape_ascii().to_string();
        assert_eq!(call_closing_target(&response), None, "{case}");
    }
}

/// Guards against a panic of the HTTP library, which would end the caller's request.
#[test]
fn response_with_a_header_that_is_not_ascii_is_an_error() {
    for value in [b"caf\xc3\xa9".as_slice(), b"caf\xe9", b"\xff"] {
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nx-own: ";
        let response = [head.as_slice(), value, b"\r\n\r\nwhole"].concat();
        assert_eq!(call_closing_target(&response), None);
    }
}
