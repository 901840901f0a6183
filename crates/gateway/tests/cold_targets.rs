//! Targets that have just started, or whose zone was evacuated, and that tolerate few
//! requests a second from all gateways together.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_routes, route,
    target_record, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RunLog, StageTarget, StoreServer,
};

/// Requests a second that a cold target tolerates.
const COLD_PER_SECOND: f64 = 15.0;
/// Requests in any second above which a cold target crashes.
const ALLOWED: f64 = 1.5 * COLD_PER_SECOND + 5.0;
const GATEWAYS: usize = 3;
/// Callers that send one request after the other.
const CALLERS: usize = 24;
/// Number of requests in a row with the same shared part of their prompts.
const PROMPT_GROUP: usize = 25;
/// Pause of a caller between two requests. All together send about 1,000 a second.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// Targets that start together, as the engines of a zone do.
const ZONE_TARGETS: usize = 20;
/// How often and at which interval calls to a cold stage target are counted.
const STAGE_SAMPLES: usize = 40;
const STAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time until the gateways are sure of the owners of targets.
const SETTLING: Duration = Duration::from_secs(7);

/// Arrivals at the targets of the zone `z2`.
#[derive(Clone, Debug, Default)]
struct Arrivals(Arc<Mutex<Vec<(usize, Instant)>>>);

impl Arrivals {
    fn take(&self) -> Vec<(usize, Instant)> {
        std::mem::take(&mut self.0.lock().expect("the lock is not poisoned"))
    }

    /// Most requests that one target got in a second, of those until `end`.
    fn most_in_second(arrivals: &[(usize, Instant)], end: Instant) -> usize {
        let most = arrivals.iter().map(|(target, from)| {
            let until = end.min(*from + Duration::from_secs(1));
            let same = arrivals
                .iter()
                .filter(|(other, at)| other == target && at >= from && *at < until && *from < end);
            same.count()
        });
        most.max().unwrap_or_default()
    }
}

/// Gateways before targets of one service: warm ones in `z1`, others in `z2`.
struct ColdFixture {
    gateways: Vec<GatewayProcess>,
    store: StoreServer,
    arrivals: Arrivals,
    service: &'static str,
    /// Path of the requests that callers send.
    path: &'static str,
    zone: Vec<PlainTarget>,
    warm: Vec<PlainTarget>,
}

impl ColdFixture {
    fn start(service: &'static str, warm: usize, zone: usize) -> Self {
        let store = StoreServer::start(any_port()).expect("the store starts");
        store.put("op/config", &cold_config());
        let (log, arrivals) = (RunLog::default(), Arrivals::default());
        let warm = support::start_targets(&store, &log, service, "warm", warm, reply);
        let targets = (0..zone).map(|index| {
            let arrivals = arrivals.clone();
            let script = move |call: &RawCall| {
                let mut arrivals = arrivals.0.lock().expect("the lock is not poisoned");
                arrivals.push((index, Instant::now()));
                drop(arrivals);
                reply(call)
            };
            let id = format!("zone{index}");
            PlainTarget::start(any_port(), &id, &log, script).expect("the target starts")
        });
        let targets = targets.collect();
        let mut fixture = Self {
            gateways: Vec::new(),
            store,
            arrivals,
            service,
            path: if service == "pool" {
                "/tell/a"
            } else {
                "/book/a"
            },
            zone: targets,
            warm,
        };
        // A gateway is ready only if it knows targets.
        if fixture.warm.is_empty() {
            fixture.register_zone(Duration::ZERO, 0);
        }
        fixture.gateways = GatewayProcess::start_fleet(GATEWAYS, fixture.store.address());
        thread::sleep(SETTLING);
        fixture
    }

    /// Registers all targets of the zone.
    fn register_zone(&self, cold_left: Duration, sequence: u64) {
        for (index, target) in self.zone.iter().enumerate() {
            let mut record = target_record(self.service, target.server().address());
            record["Zone"] = json!("z2");
            record["ColdLeftMs"] = json!(cold_left.as_millis());
            record["Sequence"] = json!(sequence);
            self.store.put(&format!("servers/zone{index}"), &record);
        }
    }

    fn wait_cold(&self, count: usize) {
        let count = f64::from(u32::try_from(count).expect("a small number"));
        for gateway in &self.gateways {
            wait_for("the cold targets", || {
                gateway.metric("cold_targets") == Some(count)
            });
        }
    }

    /// Sends requests from all callers to all gateways by turns while `run` runs.
    /// Returns the responses.
    fn send_during<Run>(&self, run: Run) -> Vec<RawResponse>
    where
        Run: FnOnce(),
    {
        let path = self.path;
        let (is_over, number) = (AtomicBool::new(false), AtomicUsize::new(0));
        let send = || {
            let mut responses = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let front = self.gateways[number % self.gateways.len()].caller_address;
                let request = CallerRequest::new("POST", path, &format!("request-{number}"));
                // With a prompt, one node chooses the engines for all.
                let parts = format!("part{}:400,own{number}:100", number / PROMPT_GROUP);
                let mut request = request.with_header("Prompt-Prefix", &parts);
                if path == "/staged/a" {
                    request = request.with_header("Pieces", "2");
                    request = request.with_header("Piece-Key", "7c1e07a291bd");
                }
                responses.push(request.fetch(front));
                thread::sleep(CALLER_PAUSE);
            }
            responses
        };
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(send)).collect();
            run();
            is_over.store(true, Ordering::Relaxed);
            let callers = callers.into_iter();
            callers
                .flat_map(|caller| caller.join().expect("a caller"))
                .collect()
        })
    }

    /// Panics if a target of the zone got too many requests in a second until `end`,
    /// or none of them got any. Returns the number of requests.
    fn assert_tolerated(&self, end: Instant) -> usize {
        let mut arrivals = self.arrivals.take();
        arrivals.retain(|(_, at)| *at < end);
        let most = Arrivals::most_in_second(&arrivals, end);
        println!(
            "{}: {most} in a second, {} in all",
            self.service,
            arrivals.len()
        );
        assert!(!arrivals.is_empty());
        let most = f64::from(u32::try_from(most).expect("a small number"));
        assert!(most <= ALLOWED, "{most} requests in a second");
        arrivals.len()
    }
}

/// A configuration in which cold targets of all services tolerate a limited rate.
fn cold_config() -> Value {
    let mut routes = default_routes();
    let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
    staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
    routes.push(staged);
    let mut config = config(3, &routes);
    for service in config["Services"].as_array_mut().expect("services") {
        service["ColdStartS"] = json!(2);
        service["ColdPerS"] = json!(COLD_PER_SECOND);
    }
    config
}

fn reply(call: &RawCall) -> verbenahub_platform_standin::RawReply {
    if call.target.starts_with("/book") {
        PlainTarget::signed(call, "200 OK", b"done")
    } else {
        EngineTarget::stream(call, 2, Duration::ZERO).last_chunk()
    }
}

/// Guards against a zone whose idle targets attract more than they tolerate while
/// they are cold, against requests that are rejected or wait since cold targets are
/// used up while warm ones have capacity, and against targets that stay limited.
#[test]
fn zone_of_cold_targets_gets_what_it_tolerates_and_warm_ones_the_rest() {
    for service in ["pool", "desk"] {
        let fixture = ColdFixture::start(service, 4, ZONE_TARGETS);
        let (cold, counted) = (Duration::from_secs(3), Duration::from_millis(2_500));
        let mut end = Instant::now();
        let responses = fixture.send_during(|| {
            end = Instant::now() + cold;
            fixture.register_zone(cold, 1);
            fixture.wait_cold(ZONE_TARGETS);
            fixture.wait_cold(0);
        });
        assert!(responses.iter().all(|response| response.status == 200));
        fixture.assert_tolerated(end);
        // A change of nothing but the coldness reaches all gateways.
        fixture.register_zone(cold, 2);
        fixture.wait_cold(ZONE_TARGETS);
        let again = Instant::now();
        fixture.arrivals.take();
        let responses = fixture.send_during(|| thread::sleep(counted));
        assert!(responses.iter().all(|response| response.status == 200));
        fixture.assert_tolerated(again + counted);
    }
}

/// Guards against targets that count as warm after the evacuation of their zone.
#[test]
fn targets_are_cold_after_the_evacuation_of_their_zone() {
    let fixture = ColdFixture::start("pool", 2, 3);
    fixture.register_zone(Duration::ZERO, 1);
    fixture.store.put("op/evacuate/z2", &json!({}));
    for gateway in &fixture.gateways {
        wait_for("the evacuation", || {
            gateway.metric("evacuated_zones") == Some(1.0)
        });
    }
    fixture.arrivals.take();
    let mut end = Instant::now();
    fixture.send_during(|| {
        end = Instant::now() + Duration::from_secs(2);
        fixture.store.remove("op/evacuate/z2");
        fixture.wait_cold(3);
        fixture.wait_cold(0);
    });
    fixture.assert_tolerated(end);
}

/// Guards against requests that hang or are lost when nothing but cold targets is
/// left, and against a gateway that takes over from one that stands still and grants
/// permits beside it.
#[test]
fn only_cold_target_is_not_overrun_while_gateways_stand_still() {
    let fixture = ColdFixture::start("pool", 0, 1);
    let cold = Duration::from_secs(20);
    let mut end = Instant::now();
    fixture.register_zone(cold, 1);
    fixture.wait_cold(1);
    let begun = Instant::now();
    let responses = fixture.send_during(|| {
        for gateway in &fixture.gateways {
            thread::sleep(Duration::from_secs(1));
            gateway.signal(Signal::STOP);
            thread::sleep(Duration::from_secs(2));
            gateway.signal(Signal::CONT);
        }
        thread::sleep(Duration::from_secs(2));
        end = Instant::now();
    });
    assert!(end < begun + cold);
    let mut statuses: Vec<u16> = responses.iter().map(|response| response.status).collect();
    statuses.sort_unstable();
    statuses.dedup();
    assert_eq!(statuses, [200, 503]);
    let rejected = responses.iter().filter(|response| response.status == 503);
    assert!(
        rejected
            .clone()
            .all(|response| response.header("Retry-After").is_some())
    );
    let served = fixture.assert_tolerated(end);
    // Of 15 a second, over eleven seconds.
    assert!(served >= 40, "{served} served");
}

/// Guards against calls of stages, and calls that free results, that are not limited.
#[test]
fn cold_stage_target_gets_no_more_calls_than_it_tolerates() {
    let mut fixture = ColdFixture::start("pool", 2, 0);
    fixture.path = "/staged/a";
    let stages = ["s0", "s1"].map(|id| {
        let stage = StageTarget::start(any_port(), id, Duration::from_millis(20));
        let stage = stage.expect("the stage starts");
        let mut record = target_record("stage-a", stage.server().address());
        record["ColdLeftMs"] = json!(20_000);
        fixture.store.put(&format!("servers/{id}"), &record);
        stage
    });
    fixture.wait_cold(stages.len());
    let mut samples = Vec::new();
    let responses = fixture.send_during(|| {
        for _ in 0..STAGE_SAMPLES {
            samples.push(stages.each_ref().map(StageTarget::request_count));
            thread::sleep(STAGE_SAMPLE_INTERVAL);
        }
    });
    let mut statuses = responses.iter().map(|response| response.status);
    assert!(statuses.all(|status| matches!(status, 200 | 503)));
    for target in 0..stages.len() {
        // Ten samples span nine tenths of a second.
        let in_second = samples
            .windows(10)
            .map(|samples| samples[9][target] - samples[0][target]);
        let most = in_second.max().expect("some samples");
        println!("stage-a: {most} in a second, {:?} in all", samples.last());
        assert!(most > 0);
        let most = f64::from(u32::try_from(most).expect("a small number"));
        assert!(most <= ALLOWED, "{most} calls in a second");
    }
}
