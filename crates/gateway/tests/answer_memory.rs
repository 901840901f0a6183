//! Memory of the gateway while targets send bytes that are no answer. No number of them
//! may exhaust the memory of a VM.

mod support;

use std::thread;

use support::{CallerRequest, GatewayProcess, default_store, start_targets};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StoreServer,
};

/// Memory of the smallest VMs. A process that needs more is ended.
const VM_MEMORY_BYTES: u64 = 260_000_000;
/// Size of the parts in which targets send.
const PART_BYTES: usize = 10_000;

struct MemoryFixture {
    gateway: GatewayProcess,
    _targets: Vec<PlainTarget>,
    _store: StoreServer,
}

impl MemoryFixture {
    fn start<F>(service: &str, script: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let targets = start_targets(&store, &RunLog::default(), service, "t", 2, script);
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 2);
        Self {
            gateway,
            _targets: targets,
            _store: store,
        }
    }

    /// Sends requests at the same time and waits for their ends. Returns the statuses
    /// and whether the answers were complete.
    fn send_all(&self, path: &str, count: usize) -> Vec<(u16, bool)> {
        let front = self.gateway.caller_address;
        let callers = (0..count).map(|index| {
            let request = CallerRequest::new("POST", path, &format!("r{index}"));
            thread::spawn(move || {
                let response = request.fetch(front);
                (response.status, response.is_complete)
            })
        });
        let callers: Vec<_> = callers.collect();
        let ends = callers.into_iter().map(thread::JoinHandle::join);
        ends.map(|end| end.expect("the caller does not panic"))
            .collect()
    }

    fn assert_memory(&self) {
        let peak = self.gateway.peak_memory();
        assert!(peak < VM_MEMORY_BYTES, "{peak} bytes");
    }
}

/// Guards against streams that each fill their buffer with an event that never ends.
#[test]
fn unfinished_events_of_many_streams_do_not_exhaust_the_memory() {
    let fixture = MemoryFixture::start("pool", |call| {
        let part = [b"2710\r\n".as_slice(), &[b'x'; PART_BYTES], b"\r\n"].concat();
        let begun = EngineTarget::head(call).chunk(b"data: ");
        begun
            .then(ReplyStep::Repeat(part, 100))
            .then(ReplyStep::Silence)
    });
    let ends = fixture.send_all("/tell/a", 400);
    assert!(ends.iter().all(|(_, is_complete)| !is_complete));
    fixture.assert_memory();
}

/// Guards against responses to other requests that are kept while they are skipped.
#[test]
fn responses_to_other_requests_do_not_exhaust_the_memory() {
    let fixture = MemoryFixture::start("desk", |_| {
        let head = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 8000000\r\n\r\n";
        RawReply::send(head)
            .then(ReplyStep::Repeat(vec![0; PART_BYTES], 799))
            .then(ReplyStep::Silence)
    });
    let ends = fixture.send_all("/book/a", 60);
    assert!(ends.iter().all(|(status, _)| matches!(status, 502 | 504)));
    fixture.assert_memory();
}

/// Guards against many response heads without an end.
#[test]
fn unfinished_heads_do_not_exhaust_the_memory() {
    let fixture = MemoryFixture::start("desk", |_| {
        RawReply::send("HTTP/1.1 200 OK\r\nX: ")
            .then(ReplyStep::Repeat(vec![b'x'; PART_BYTES], 6))
            .then(ReplyStep::Silence)
    });
    let ends = fixture.send_all("/book/a", 400);
    assert!(ends.iter().all(|(status, _)| matches!(status, 502 | 504)));
    fixture.assert_memory();
}
