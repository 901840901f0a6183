//! A part of a prompt that crashes each engine that begins to answer a request
//! with it. Requests with the part come at all gateways, no two alike.

mod support;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::json;
use support::{CallerRequest, GatewayProcess, RawResponse, any_port, default_store};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StoreServer,
};

const GATEWAYS: usize = 3;
const ENGINES: usize = 12;
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Of this many requests one has the deadly part.
const DEADLY_EVERY: usize = 8;
/// Requests of a test. The last ones come long after the fifth crash.
const REQUESTS: usize = 480;
/// Time after the fifth crash from which few requests with the part may reach
/// engines.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Number of requests with the part that may reach engines after that.
const ALLOWED_LATER: usize = 3;
/// Time between an engine's first bytes and its crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time between the chunks of an answer.
const CHUNK_INTERVAL: Duration = Duration::from_millis(5);
/// Name of the deadly part.
const DEADLY: &str = "dead01";

/// Engines that crash as they begin to answer a request with the deadly part, and
/// gateways before them.
struct CrashFixture {
    gateways: Vec<GatewayProcess>,
    engines: Vec<PlainTarget>,
    /// Number of crashes of each engine that the store knows of.
    registered: Vec<AtomicUsize>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    store: StoreServer,
}

/// Reply of an engine that crashes before the first event of its answer.
fn crash_reply(call: &RawCall) -> RawReply {
    EngineTarget::head(call)
        .then(ReplyStep::Wait(CRASH_DELAY))
        .then(ReplyStep::Crash)
}

impl CrashFixture {
    fn start<Script>(deadly_reply: Script) -> Self
    where
        Script: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let engines = (0..ENGINES).map(|index| {
            let (arrivals, deadly_reply) = (Arc::clone(&arrivals), deadly_reply.clone());
            let log = RunLog::default();
            let engine = PlainTarget::start(any_port(), &format!("e{index}"), &log, move |call| {
                let prompt = call.header("Prompt-Prefix").unwrap_or_default();
                if prompt.contains(DEADLY) {
                    let mut arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
                    arrivals.push(Instant::now());
                    return deadly_reply(call);
                }
                EngineTarget::stream(call, 3, CHUNK_INTERVAL).last_chunk()
            });
            engine.expect("the engine starts")
        });
        let engines: Vec<PlainTarget> = engines.collect();
        let registered = (0..ENGINES).map(|_| AtomicUsize::new(usize::MAX));
        let mut fixture = Self {
            gateways: Vec::new(),
            engines,
            registered: registered.collect(),
            arrivals,
            store,
        };
        fixture.register_engines();
        fixture.gateways = GatewayProcess::start_fleet(GATEWAYS, fixture.store.address());
        for gateway in &fixture.gateways {
            gateway.wait_log_line(|line| line["targets"] == ENGINES);
        }
        fixture
    }

    /// Registers each engine that has crashed since as a new run.
    fn register_engines(&self) {
        for (engine, registered) in self.engines.iter().zip(&self.registered) {
            let crashes = engine.server().crashes();
            if registered.swap(crashes, Ordering::SeqCst) == crashes {
                continue;
            }
            let record = json!({
                "Service": "pool", "Address": engine.server().address().to_string(),
                "Zone": "z1", "Version": "v1", "Slots": 64, "State": "ready",
                "ColdLeftMs": 0, "Sequence": 1, "born": 1_000 + crashes
            });
            self.store.put(&format!("servers/{}", engine.id()), &record);
        }
    }

    /// Sends requests to all gateways in turn. Returns the responses to the sound
    /// ones, in the order in which they were sent.
    fn send_requests(&self, path: &str, count: usize) -> Vec<RawResponse> {
        thread::scope(|scope| {
            let sent = (0..count).map(|index| {
                thread::sleep(REQUEST_INTERVAL);
                self.register_engines();
                let is_deadly = index % DEADLY_EVERY == DEADLY_EVERY - 1;
                let third = if is_deadly {
                    // The part after it decides which engine is preferred.
                    format!("{DEADLY}:160,d{}", index % 9)
                } else {
                    format!("c{}", index % 5)
                };
                let request = prompt_request(path, index, &third);
                let address = self.gateways[index % self.gateways.len()].caller_address;
                (!is_deadly, scope.spawn(move || request.fetch(address)))
            });
            let sent: Vec<_> = sent.collect();
            let responses = sent.into_iter().map(|(is_sound, response)| {
                (is_sound, response.join().expect("the caller doesn't panic"))
            });
            let sound = responses.filter(|(is_sound, _)| *is_sound);
            sound.map(|(_, response)| response).collect()
        })
    }

    fn crashes(&self) -> usize {
        let engines = self.engines.iter();
        engines.map(|engine| engine.server().crashes()).sum()
    }

    /// Number of requests with the deadly part that reached engines later than
    /// [`STABLE_WINDOW`] after the fifth of them.
    fn late_arrivals(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(fifth) = arrivals.get(4) else {
            return 0;
        };
        let late = arrivals
            .iter()
            .filter(|at| at.duration_since(*fifth) > STABLE_WINDOW);
        late.count()
    }

    /// Checks that the deadly part was kept from the engines in time, and that the
    /// last third of the sound requests was served.
    fn check(&self, sound: &[RawResponse]) {
        let late = self.late_arrivals();
        println!("{} crashes, {late} requests too late", self.crashes());
        assert!(late <= ALLOWED_LATER, "{late} requests too late");
        let last = &sound[sound.len() / 3 * 2..];
        let served = last.iter().filter(|response| response.is_complete).count();
        println!("{served} of the last {} sound requests served", last.len());
        assert!(served * 10 >= last.len() * 9, "{served} of {}", last.len());
    }
}

/// A request whose prompt shares its first two parts with all others.
fn prompt_request(path: &str, index: usize, third: &str) -> CallerRequest {
    let prompt = format!("a1:2600,b{}:1700,{third}:160,f{index:05}:300", index % 5);
    CallerRequest::new("POST", path, &format!("r{index}")).with_header("Prompt-Prefix", &prompt)
}

#[test]
fn a_deadly_part_crashes_engines_without_end() {
    let fixture = CrashFixture::start(crash_reply);
    let sound = fixture.send_requests("/tell/x", REQUESTS);
    fixture.check(&sound);
}

#[test]
fn a_deadly_part_crashes_engines_by_resumed_streams() {
    let fixture = CrashFixture::start(crash_reply);
    let sound = fixture.send_requests("/resume/x", REQUESTS);
    fixture.check(&sound);
}

/// The connection ends without a length or chunks, which is no complete answer.
#[test]
fn a_deadly_part_crashes_engines_that_answer_without_length() {
    let fixture = CrashFixture::start(|call| {
        let id = call.header("Attempt-Id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07\r\n\
             Content-Type: text/event-stream\r\n\r\n"
        );
        RawReply::send(head.into_bytes())
            .then(ReplyStep::Wait(CRASH_DELAY))
            .then(ReplyStep::Crash)
    });
    let sound = fixture.send_requests("/tell/x", REQUESTS);
    fixture.check(&sound);
}

/// A gateway is killed after the first crashes, and another one starts.
#[test]
fn a_deadly_part_crashes_engines_again_after_gateways_are_lost() {
    let mut fixture = CrashFixture::start(crash_reply);
    for _ in 0..GATEWAYS {
        fixture.send_requests("/tell/x", DEADLY_EVERY * 2);
        let gone = fixture.gateways.remove(0);
        gone.signal(Signal::KILL);
        let seeds = fixture.gateways.iter().map(|gateway| gateway.peer_address);
        let seeds: Vec<_> = seeds.collect();
        let name = format!("later{}", fixture.crashes());
        let added = GatewayProcess::start(&name, fixture.store.address(), &seeds);
        added.wait_ready();
        fixture.gateways.push(added);
    }
    let sound = fixture.send_requests("/tell/x", REQUESTS);
    fixture.check(&sound);
}

#[test]
fn callers_of_a_quarantined_part_are_told_for_how_long_by_new_gateways_too() {
    let mut fixture = CrashFixture::start(crash_reply);
    fixture.send_requests("/tell/x", REQUESTS / 4);
    let seeds = fixture.gateways.iter().map(|gateway| gateway.peer_address);
    let seeds: Vec<_> = seeds.collect();
    let later = GatewayProcess::start("later", fixture.store.address(), &seeds);
    later.wait_ready();
    later.wait_log_line(|line| line["msg"] == "quarantine: Part of prompts learned.");
    fixture.gateways.push(later);
    let crashes = fixture.crashes();
    for (index, gateway) in fixture.gateways.iter().enumerate() {
        let deadly = prompt_request("/tell/x", 9_000 + index, DEADLY);
        let response = deadly.fetch(gateway.caller_address);
        assert_eq!(response.status, 503);
        assert!(response.text().contains("quarantined"), "{response:?}");
        let wait = response.header("Retry-After").expect("a time");
        assert!(wait.parse::<f64>().expect("seconds") > 60.0, "{wait}");
        let sound = prompt_request("/tell/x", 9_100 + index, "c0");
        assert!(sound.fetch(gateway.caller_address).is_complete);
        assert_eq!(gateway.metric("quarantined_parts"), Some(1.0));
    }
    assert_eq!(fixture.crashes(), crashes);
}

/// Requests between two crashes of all engines, and until a part of prompts is used
/// again. They differ so that no part is in progress at each of the crashes.
const CRASH_PERIOD: u32 = 40;
const PART_PERIOD: usize = 37;

/// All engines crash at the same moment, four times, without a part that is to
/// blame.
#[test]
fn engines_that_crash_together_quarantine_nothing() {
    let fixture = CrashFixture::start(crash_reply);
    thread::scope(|scope| {
        let requests = scope.spawn(|| {
            let sent = (0..REQUESTS / 2).map(|index| {
                thread::sleep(REQUEST_INTERVAL);
                fixture.register_engines();
                let third = format!("c{}", index % PART_PERIOD);
                let request = prompt_request("/tell/x", index, &third);
                let address = fixture.gateways[index % GATEWAYS].caller_address;
                scope.spawn(move || request.fetch(address))
            });
            let sent: Vec<_> = sent.collect();
            let responses = sent.into_iter();
            let texts = responses.map(|response| response.join().expect("no panic").text());
            texts.collect::<Vec<String>>()
        });
        for _ in 0..4 {
            thread::sleep(REQUEST_INTERVAL * CRASH_PERIOD);
            for engine in &fixture.engines {
                engine.server().crash();
            }
        }
        let texts = requests.join().expect("no panic");
        let answered = texts.iter().filter(|text| text.starts_with("id: 0"));
        assert!(answered.count() > texts.len() / 2);
        assert!(!texts.iter().any(|text| text.contains("quarantined")));
    });
    for gateway in &fixture.gateways {
        assert_eq!(gateway.metric("quarantined_parts"), Some(0.0));
    }
}

/// Requests with one part always lose their connection, but the engines go on.
#[test]
fn engines_that_reset_single_connections_quarantine_nothing() {
    let fixture = CrashFixture::start(|call| {
        EngineTarget::head(call)
            .then(ReplyStep::Wait(CRASH_DELAY))
            .then(ReplyStep::Close)
    });
    let sound = fixture.send_requests("/tell/x", REQUESTS / 2);
    assert!(sound.iter().all(|response| response.is_complete));
    for gateway in &fixture.gateways {
        assert_eq!(gateway.metric("quarantined_parts"), Some(0.0));
    }
}
