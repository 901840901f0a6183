//! Targets that leave around short troubles of the store: a store that works may
//! cut watches and refuse calls. Live targets can renew their records meanwhile, so
//! a removal counts at once.

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use serde_json::Value;
use support::{CallerRequest, GatewayProcess, any_port, default_store, register, wait_for};
use verbenahub_platform_standin::{PlainTarget, RawCall, RunLog, StoreFault, StoreServer};

/// Time between the cuts of a series. Shorter than the wait of a watch, so that no
/// watch ends without a cut.
const CUT_INTERVAL: Duration = Duration::from_millis(350);
/// Maximum number of cuts in a series, longer than any wait of the test.
const MAX_CUTS: usize = 100;
/// Length of an outage in which records of live targets may expire.
const LONG_OUTAGE: Duration = Duration::from_millis(2_800);
/// Time in which each node gossips with others, and the targets don't register again
/// yet.
const GOSSIP_PAUSE: Duration = Duration::from_millis(1_300);
/// Pause within a test between two steps of the store's trouble.
const SHORT_PAUSE: Duration = Duration::from_millis(300);
const TARGETS: usize = 3;

/// Gateways with a store and registered targets.
struct CutFixture {
    store: StoreServer,
    log: RunLog,
    targets: Vec<PlainTarget>,
    gateways: Vec<GatewayProcess>,
}

impl CutFixture {
    fn start(gateways: usize) -> Self {
        let store = default_store();
        let log = RunLog::default();
        let targets: Vec<PlainTarget> = (0..TARGETS)
            .map(|number| {
                let answer = |call: &RawCall| PlainTarget::signed(call, "200 OK", b"done");
                let id = format!("t{number}");
                let target = PlainTarget::start(any_port(), &id, &log, answer).expect("a target");
                register(&store, &id, "desk", target.server().address());
                target
            })
            .collect();
        let gateways = GatewayProcess::start_fleet(gateways, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == TARGETS);
        }
        Self {
            store,
            log,
            targets,
            gateways,
        }
    }

    /// Waits until the store has received further calls.
    fn wait_calls(&self, count: usize) {
        let before = self.store.call_count();
        wait_for("calls to the store", || {
            self.store.call_count() >= before + count
        });
    }

    fn register(&self, number: usize) {
        let address = self.targets[number].server().address();
        register(&self.store, &format!("t{number}"), "desk", address);
    }

    /// Waits until all gateways have dropped the target that left, and checks that
    /// none has put the removal off and that none sends requests there.
    fn check_removal_of_last(&self) {
        for gateway in &self.gateways {
            wait_for("the removal", || {
                let lines = gateway.log_lines();
                lines.iter().any(|line| is_change_to(line, TARGETS - 1))
            });
            let lines = gateway.log_lines();
            assert!(!lines.iter().any(is_put_off), "the removal was put off");
        }
        let runs = self.log.runs().len();
        self.serve_all("after");
        let left = format!("t{}", TARGETS - 1);
        let runs = &self.log.runs()[runs..];
        assert!(runs.iter().all(|run| run.target != left));
    }

    /// Sends requests through each gateway, which must all be served.
    fn serve_all(&self, id_prefix: &str) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            for number in 0..12 {
                let id = format!("{id_prefix}-{index}-{number}");
                let request = CallerRequest::new("GET", "/look/a", &id);
                assert_eq!(request.fetch(gateway.caller_address).status, 200, "{id}");
            }
        }
    }
}

fn is_change_to(line: &Value, targets: usize) -> bool {
    line["msg"] == "targets: Changed." && line["targets"] == targets
}

fn is_put_off(line: &Value) -> bool {
    line["msg"] == "targets: Missing from the store, kept for now."
}

/// Guards against a removal that is put off because a watch was cut before it, on
/// readers and on nodes that follow them.
#[test]
fn target_that_leaves_after_a_cut_of_the_watches_is_dropped_at_once() {
    for gateways in [1, 3, 5] {
        let fixture = CutFixture::start(gateways);
        fixture.store.cut_watches();
        // A listing and the next watch.
        fixture.wait_calls(2);
        fixture.store.remove("servers/t2");
        fixture.check_removal_of_last();
    }
}

/// Guards against a removal that is put off because the listing that follows a cut
/// watch is the first to show it.
#[test]
fn target_that_leaves_right_before_a_cut_of_the_watches_is_dropped_at_once() {
    for gateways in [1, 3] {
        let fixture = CutFixture::start(gateways);
        fixture.store.cut_watches();
        fixture.store.remove("servers/t2");
        fixture.check_removal_of_last();
    }
}

/// Guards against a removal that is put off without end because each further cut
/// counts as an outage.
#[test]
fn target_that_leaves_during_a_series_of_cuts_is_dropped_at_once() {
    for gateways in [1, 3] {
        let fixture = CutFixture::start(gateways);
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                for _ in 0..MAX_CUTS {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    fixture.store.cut_watches();
                    thread::sleep(CUT_INTERVAL);
                }
            });
            thread::sleep(3 * CUT_INTERVAL);
            fixture.store.remove("servers/t2");
            fixture.check_removal_of_last();
            is_over.store(true, Ordering::SeqCst);
        });
    }
}

/// Guards against a removal that is put off because the rate limit for readers was
/// reached, which concerns no target.
#[test]
fn target_that_leaves_while_calls_are_rate_limited_is_dropped_with_the_next_answer() {
    let fixture = CutFixture::start(1);
    fixture.store.set_fault(StoreFault::RateLimited);
    fixture.gateways[0].wait_log_line(|line| line["msg"] == "store: Contact lost.");
    thread::sleep(LONG_OUTAGE);
    fixture.store.remove("servers/t2");
    fixture.store.set_fault(StoreFault::None);
    fixture.check_removal_of_last();
}

/// Guards against a removal that is put off because of an outage that is too short
/// for the record of a live target to expire.
#[test]
fn target_that_leaves_after_a_single_failed_call_is_dropped_at_once() {
    for fault in [StoreFault::Busy, StoreFault::Reset] {
        let fixture = CutFixture::start(1);
        fixture.store.set_fault(fault);
        fixture.gateways[0].wait_log_line(|line| line["msg"] == "store: Contact lost.");
        fixture.store.set_fault(StoreFault::None);
        fixture.gateways[0].wait_log_line(|line| line["msg"] == "store: Answers again.");
        thread::sleep(SHORT_PAUSE);
        fixture.store.remove("servers/t2");
        fixture.check_removal_of_last();
    }
}

/// Guards against the loss of live targets: after an outage in which their records
/// expired they stay in use until they have registered again, on readers and on
/// nodes that follow them or gossip with them.
#[test]
fn targets_whose_records_expired_in_an_outage_stay_in_use() {
    let fleets = [
        (1, StoreFault::Reset),
        (3, StoreFault::Busy),
        (9, StoreFault::Busy),
    ];
    for (gateways, fault) in fleets {
        let fixture = CutFixture::start(gateways);
        fixture.store.set_fault(fault);
        wait_for("the outage", || {
            let lines = fixture.gateways.iter().flat_map(GatewayProcess::log_lines);
            lines
                .into_iter()
                .any(|line| line["msg"] == "store: Contact lost.")
        });
        thread::sleep(LONG_OUTAGE);
        for number in 0..TARGETS {
            fixture.store.remove(&format!("servers/t{number}"));
        }
        fixture.store.set_fault(StoreFault::None);
        for gateway in &fixture.gateways {
            gateway.wait_log_line(|line| is_put_off(line) && line["missing"] == TARGETS);
        }
        thread::sleep(GOSSIP_PAUSE);
        fixture.serve_all("missing");
        for number in 0..TARGETS {
            fixture.register(number);
        }
        for gateway in &fixture.gateways {
            wait_for("the records", || {
                gateway.metric("missing_targets") == Some(0.0)
            });
            let lines = gateway.log_lines();
            let changes = lines
                .iter()
                .filter(|line| line["msg"] == "targets: Changed.");
            let mut counts = changes.skip_while(|line| line["targets"] != TARGETS);
            assert!(counts.all(|line| line["targets"] == TARGETS));
        }
        fixture.serve_all("registered");
    }
}
