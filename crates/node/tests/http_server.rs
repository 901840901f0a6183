//! Tests of the HTTP server: responses to requests whose body is not read, to
//! malformed or slow requests, and to connections over the limit.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use http_types::{Request, Response, StatusCode};
use smol::net::TcpListener;
use verbenahub_core::{clock::TimeSpan, units::ByteSize};
use verbenahub_node::{
    connection::{HttpServer, MeteredStream, ServerLimits, ServerPhase},
    process::{TaskGroup, ThreadPool},
};

/// Read timeout, so that the test fails if the server does not respond.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
const LARGE_BODY_BYTES: usize = 600 << 10;

/// A server whose handler reads the body only if the path is `/read`.
struct TestServer {
    address: SocketAddr,
    _pool: ThreadPool,
    _tasks: TaskGroup,
}

impl TestServer {
    fn start(connections: usize) -> Self {
        let pool = ThreadPool::start(2).expect("threads");
        let tasks = TaskGroup::new(Arc::clone(pool.executor()));
        let listener = pool
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("port");
        let address = listener.local_addr().expect("address");
        let limits = ServerLimits {
            connections,
            request_bytes: ByteSize::from_mib(1),
            head_timeout: TimeSpan::from_millis(300),
            idle_timeout: TimeSpan::from_secs(30),
            write_timeout: TimeSpan::from_secs(10),
        };
        let group = tasks.sibling();
        tasks.spawn(async move {
            let phase = Arc::new(ServerPhase::default());
            let server = HttpServer::new(listener, limits, phase);
            server.run(&group, respond, |_| {}).await;
        });
        Self {
            address,
            _pool: pool,
            _tasks: tasks,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connection");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("timeout");
        stream
    }
}

async fn respond(mut request: Request, _stream: MeteredStream) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    if request.url().path() == "/read" {
        let body = request.body_bytes().await.unwrap_or_default();
        response.set_body(format!("read {}", body.len()));
    } else {
        response.set_body("unread");
    }
    response
}

fn post(path: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0_u8; 1];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("head of the response");
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("body of the response");
    head + &String::from_utf8_lossy(&body)
}

#[test]
fn connection_serves_the_next_request_after_a_read_body() {
    let server = TestServer::start(8);
    let mut stream = server.connect();
    for length in [0, 1, 5_000, 100_000] {
        stream
            .write_all(&post("/read", &vec![b'x'; length]))
            .expect("write");
        let response = read_response(&mut stream);
        assert!(response.ends_with(&format!("read {length}")), "{response}");
        assert!(!response.contains("connection: close"), "{response}");
    }
}

#[test]
fn unread_body_closes_the_connection_with_a_close_header() {
    let server = TestServer::start(8);
    let mut stream = server.connect();
    // The body is sent after the response, when the handler has returned.
    let request = post("/unread", &[b'x'; 2_000]);
    let (head, body) = request.split_at(request.len() - 2_000);
    stream.write_all(head).expect("write");
    let response = read_response(&mut stream);
    assert!(response.contains("connection: close"), "{response}");
    stream.write_all(body).expect("write");
    stream.shutdown(Shutdown::Write).expect("shutdown");
    let mut rest = Vec::new();
    stream
        .read_to_end(&mut rest)
        .expect("end of stream without a reset");
    assert!(rest.is_empty());
}

#[test]
fn response_to_a_large_unread_body_is_not_lost() {
    let server = TestServer::start(8);
    let mut stream = server.connect();
    let request = post("/unread", &vec![b'x'; LARGE_BODY_BYTES]);
    stream.write_all(&request).expect("write");
    assert!(read_response(&mut stream).ends_with("unread"));
}

#[test]
fn malformed_requests_get_a_response() {
    let server = TestServer::start(8);
    let long_head = format!(
        "GET / HTTP/1.1\r\nhost: test\r\nx: {}\r\n\r\n",
        "y".repeat(16_000)
    );
    for text in [
        "NONSENSE\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        long_head.as_str(),
    ] {
        let mut stream = server.connect();
        stream.write_all(text.as_bytes()).expect("write");
        let response = read_response(&mut stream);
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        assert!(response.contains("\"not_run\""), "{response}");
    }
}

#[test]
fn request_with_ambiguous_framing_is_rejected_and_closes_the_connection() {
    let server = TestServer::start(8);
    for framing in [
        "content-length: 1\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: +3\r\n",
        "content-length: 3, 3\r\n",
        "content-length: 0x3\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: gzip\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
    ] {
        let mut stream = server.connect();
        // Request smuggling: bytes that one parser reads as the body are a second
        // request to another parser.
        let text = format!(
            "POST /read HTTP/1.1\r\nhost: test\r\n{framing}\r\n\
             GET /read HTTP/1.1\r\nhost: test\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).expect("write");
        stream.shutdown(Shutdown::Write).expect("shutdown");
        let mut responses = String::new();
        stream
            .read_to_string(&mut responses)
            .expect("end of stream without a reset");
        assert!(
            responses.starts_with("HTTP/1.1 400"),
            "{framing}: {responses}"
        );
        assert!(
            responses.contains("connection: close"),
            "{framing}: {responses}"
        );
        let heads = responses
            .lines()
            .filter(|line| line.starts_with("HTTP/1.1"));
        assert_eq!(heads.count(), 1, "{framing}: {responses}");
    }
}

#[test]
fn connection_over_the_limit_gets_a_503() {
    let server = TestServer::start(1);
    let mut first = server.connect();
    first.write_all(&post("/read", b"x")).expect("write");
    assert!(read_response(&mut first).ends_with("read 1"));
    let mut second = server.connect();
    let response = read_response(&mut second);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 1"), "{response}");
}

#[test]
fn slow_head_gets_a_408() {
    let server = TestServer::start(8);
    let mut stream = server.connect();
    stream
        .write_all(b"POST /read HTTP/1.1\r\nhost:")
        .expect("write");
    let response = read_response(&mut stream);
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}
