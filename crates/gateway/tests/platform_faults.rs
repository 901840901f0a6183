//! Gateways while the platform's store is unavailable, refuses calls of some of
//! them, or changes, and while the gateways themselves are stopped or paused.

mod support;

use std::{collections::BTreeMap, io::Write, time::Duration};

use rustix::process::Signal;
use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, connect, default_routes,
    default_store, register, register_with_state, route, target_record, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, RunLog, StoreFault, StoreServer,
};

fn reply_done(call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"done")
}

fn start_registered_target(store: &StoreServer, log: &RunLog, id: &str) -> PlainTarget {
    let target = PlainTarget::start(any_port(), id, log, reply_done).expect("a target");
    register(store, id, "desk", target.server().address());
    target
}

fn response_status(gateway: &GatewayProcess, path: &str, key: &'static str) -> u16 {
    let request = CallerRequest {
        api_key: Some(key),
        ..CallerRequest::new("GET", path, "r1")
    };
    request.fetch(gateway.caller_address).status
}

#[test]
fn node_without_a_configuration_is_not_ready_and_refuses_as_not_run() {
    let store = StoreServer::start(any_port()).expect("a store");
    let gateway = GatewayProcess::start("n1", store.address(), &[]);
    assert!(!gateway.is_ready());
    assert_eq!(response_status(&gateway, "/look/a", "key-one"), 503);
    store.put("op/config", &config(1, &default_routes()));
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    gateway.wait_ready();
    assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
}

#[test]
fn changed_configuration_is_in_force_for_open_connections() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    let mut stream = connect(gateway.caller_address);
    let mut ask = |path: &str, key| {
        let request = CallerRequest {
            api_key: Some(key),
            ..CallerRequest::new("GET", path, "r1")
        };
        stream.write_all(&request.encode()).expect("a request");
        RawResponse::read(&mut stream).status
    };
    assert_eq!(ask("/look/a", "key-one"), 200);
    assert_eq!(ask("/new/a", "key-one"), 404);
    let mut routes = default_routes();
    routes.push(route("new", "/new/", "idempotent", "desk", 2));
    let mut changed = config(7, &routes);
    changed["Tenants"] = json!([{ "Name": "inn", "ApiKeys": ["key-two"] }]);
    store.put("op/config", &changed);
    gateway
        .wait_log_line(|line| line["msg"] == "config: Version in force." && line["version"] == 7);
    assert_eq!(ask("/new/a", "key-two"), 200);
    assert_eq!(ask("/look/a", "key-one"), 401);
}

#[test]
fn invalid_configuration_leaves_the_last_one_in_force() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    store.put(
        "op/config",
        &json!({ "Version": 9, "Routes": [{ "Name": "half" }] }),
    );
    gateway.wait_log_line(|line| {
        line["msg"] == "config: Not usable, the last version stays in force."
    });
    assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
}

#[test]
fn invalid_target_records_are_ignored() {
    let store = default_store();
    store.put_bytes("servers/odd", b"\xff\xfe{");
    store.put("servers/typed", &json!({ "Service": 5, "Address": "x" }));
    store.put(
        "servers/state",
        &json!({ "Service": "desk", "Address": "127.0.0.1:1",
        "Zone": "z1", "State": "asleep", "Slots": 1 }),
    );
    store.put("servers/bad id!", &json!({ "Service": "desk" }));
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 1);
    assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
}

/// Another writer leaves one odd entry among those of the targets, before the
/// gateways start and while they run.
#[test]
fn odd_target_records_neither_end_a_node_nor_stop_its_updates() {
    let record = |field: &str, value: &str| {
        let mut fields = BTreeMap::from([
            ("Service", "\"desk\""),
            ("Address", "\"127.0.0.1:1\""),
            ("Zone", "\"z1\""),
            ("State", "\"ready\""),
            ("Slots", "1"),
            ("born", "1"),
        ]);
        fields.insert(field, value);
        let fields = fields.iter();
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("\"{name}\":{value}"))
            .collect();
        format!("{{{}}}", fields.join(","))
    };
    let opened = "[".repeat(200_000);
    let object = "{\"a\":".repeat(100_000) + "1" + &"}".repeat(100_000);
    let odd = [
        record("Extra", &opened),
        record("Slots", &object),
        opened.clone(),
        record("Slots", "99999999999999999999999999"),
        record("Slots", "1e999"),
        record("Slots", "-1"),
        record("born", "18446744073709551616"),
        record("born", "1e400"),
        record("Address", "\"127.0.0.1:99999\""),
        record("Address", "\"127.0.0.1:-1\""),
        record("Address", "\"127.0.0.1:\""),
        record("Address", "\"[::1]:65536\""),
        record("Zone", &format!("\"{}\"", "z".repeat(100_000))),
    ];
    let log = RunLog::default();
    for (number, value) in odd.iter().enumerate() {
        let store = default_store();
        store.put_bytes("servers/a-odd", value.as_bytes());
        let _target = start_registered_target(&store, &log, "t0");
        let gateways = GatewayProcess::start_fleet(2, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == 1);
        }
        store.put_bytes("servers/z-odd", value.as_bytes());
        let _other = start_registered_target(&store, &log, "t1");
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == 2);
            assert_eq!(
                response_status(gateway, "/look/a", "key-one"),
                200,
                "{number}"
            );
        }
        let lines = gateways.iter().flat_map(GatewayProcess::log_lines);
        let mut invalid = lines.filter(|line| line["msg"] == "targets: Record is invalid.");
        assert!(
            invalid.any(|line| line["key"] == "servers/z-odd"),
            "{number}"
        );
    }
}

/// Records that are valid, but of no use or strange.
#[test]
fn extreme_target_records_leave_the_others_in_use() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let nested = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let text = format!(
        "{{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z1\",\"State\":\"ready\",\
         \"Nested\":{nested},\"Number\":1e999999999}}"
    );
    store.put_bytes("servers/nested", text.as_bytes());
    for (number, (address, slots, born)) in [
        ("127.0.0.1:0", 1_u64, 1_u64),
        ("0.0.0.0:1", 1, 1),
        ("255.255.255.255:1", 1, 1),
        ("127.0.0.1:1", u64::from(u32::MAX), 1),
        ("127.0.0.1:1", 0, 1),
        ("127.0.0.1:1", 1, u64::MAX),
    ]
    .into_iter()
    .enumerate()
    {
        let record = json!({ "Service": "desk", "Address": address, "Zone": "z1", "State": "ready",
            "Slots": slots, "born": born });
        store.put(&format!("servers/odd{number}"), &record);
    }
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 8);
    for _ in 0..30 {
        assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
    }
    let _other = start_registered_target(&store, &log, "t1");
    gateway.wait_log_line(|line| line["targets"] == 9);
}

#[test]
fn listing_of_several_pages_is_read_completely() {
    let store = default_store();
    let log = RunLog::default();
    let targets: Vec<PlainTarget> = (0..12)
        .map(|n| start_registered_target(&store, &log, &format!("t{n:02}")))
        .collect();
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == targets.len());
}

#[test]
fn leaving_target_gets_no_new_request() {
    let store = default_store();
    let log = RunLog::default();
    let (first, _second) = (
        start_registered_target(&store, &log, "t0"),
        start_registered_target(&store, &log, "t1"),
    );
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 2);
    let changes = || {
        let lines = gateway.log_lines();
        lines
            .iter()
            .filter(|line| line["msg"] == "targets: Changed.")
            .count()
    };
    let before = changes();
    register_with_state(&store, "t0", "desk", first.server().address(), "draining");
    wait_for("the change", || changes() > before);
    let run_count = log.runs().len();
    for _ in 0..20 {
        assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
    }
    assert!(log.runs()[run_count..].iter().all(|run| run.target == "t1"));
}

/// Guards against bookings at a target that leaves. Its last heartbeat, which the store
/// carried out after its report that it drains, made it count as ready again.
#[test]
fn late_heartbeat_does_not_make_a_leaving_target_ready() {
    let store = default_store();
    let log = RunLog::default();
    let (first, _second) = (
        start_registered_target(&store, &log, "t0"),
        start_registered_target(&store, &log, "t1"),
    );
    let gateways = GatewayProcess::start_fleet(3, store.address());
    for gateway in &gateways {
        gateway.wait_log_line(|line| line["targets"] == 2);
    }
    let write = |state: &str, number: u64| {
        let mut record = target_record("desk", first.server().address());
        record["State"] = json!(state);
        record["Sequence"] = json!(number);
        store.put("servers/t0", &record);
    };
    write("draining", 9);
    for (number, target_count) in [(8, 3), (7, 4)] {
        write("ready", number);
        // Gateways that know of this target have received the write before it.
        register(&store, &format!("m{number}"), "other", any_port());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == target_count);
        }
        let run_count = log.runs().len();
        for gateway in &gateways {
            for _ in 0..20 {
                assert_eq!(response_status(gateway, "/look/a", "key-one"), 200);
            }
        }
        let runs = &log.runs()[run_count..];
        assert!(runs.iter().all(|run| run.target == "t1"), "{number}");
    }
    // The target has withdrawn its leaving.
    write("ready", 10);
    wait_for("the target to be used", || {
        response_status(&gateways[0], "/look/a", "key-one");
        log.runs().last().is_some_and(|run| run.target == "t0")
    });
}

#[test]
fn requests_are_served_during_a_store_outage_and_changes_follow_after_it() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let store = default_store();
        let log = RunLog::default();
        let _target = start_registered_target(&store, &log, "t0");
        let gateway = GatewayProcess::start_ready("n1", store.address());
        store.set_fault(fault);
        gateway.wait_log_line(|line| line["msg"] == "store: Contact lost.");
        assert_eq!(
            response_status(&gateway, "/look/a", "key-one"),
            200,
            "{fault:?}"
        );
        store.put("op/config", &config(8, &default_routes()));
        store.set_fault(StoreFault::None);
        gateway.wait_log_line(|line| line["msg"] == "store: Answers again.");
        gateway.wait_log_line(|line| line["version"] == 8);
    }
}

#[test]
fn node_that_may_have_missed_a_change_denies_nothing() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    assert_eq!(response_status(&gateway, "/none/a", "key-one"), 404);
    store.set_fault(StoreFault::Silent);
    wait_for("the configuration to count as possibly outdated", || {
        response_status(&gateway, "/none/a", "key-one") == 503
    });
    assert_eq!(response_status(&gateway, "/look/a", "no-key"), 503);
    assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
}

#[test]
fn store_is_listed_again_after_a_compaction() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    store.set_fault(StoreFault::Reset);
    gateway.wait_log_line(|line| line["msg"] == "store: Contact lost.");
    store.put("op/config", &config(8, &default_routes()));
    let _other = start_registered_target(&store, &log, "t1");
    store.compact();
    store.set_fault(StoreFault::None);
    gateway.wait_log_line(|line| line["version"] == 8);
    gateway.wait_log_line(|line| line["targets"] == 2);
}

#[test]
fn node_that_the_store_refuses_follows_other_nodes() {
    let store = default_store();
    let refusing = StoreServer::start(any_port()).expect("a store");
    refusing.set_fault(StoreFault::Busy);
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let first = GatewayProcess::start_ready("n1", store.address());
    let second = GatewayProcess::start("n2", refusing.address(), &[first.peer_address]);
    second.wait_ready();
    assert_eq!(response_status(&second, "/look/a", "key-one"), 200);
    store.put("op/config", &config(9, &default_routes()));
    second.wait_log_line(|line| line["version"] == 9);
    assert_eq!(
        response_status(&second, "/none/a", "key-one"),
        404,
        "the node knows that its configuration is current"
    );
    let _other = start_registered_target(&store, &log, "t1");
    second.wait_log_line(|line| line["targets"] == 2);
    store.remove("servers/t0");
    wait_for("the removal", || {
        let changes = second.log_lines();
        let last = changes
            .iter()
            .rfind(|line| line["msg"] == "targets: Changed.");
        last.is_some_and(|line| line["targets"] == 1)
    });
}

#[test]
fn stopping_node_becomes_unready_and_serves_until_it_exits() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let engine = EngineTarget::start(any_port(), "e0", &log, 40, Duration::from_millis(100));
    register(
        &store,
        "e0",
        "pool",
        engine.expect("an engine").server().address(),
    );
    let engine = EngineTarget::start(any_port(), "e1", &log, 40, Duration::from_millis(100));
    let engine = engine.expect("an engine");
    store.remove("servers/e0");
    register(&store, "e1", "pool", engine.server().address());
    let mut gateway = GatewayProcess::start_ready("n1", store.address());
    wait_for("the engine", || {
        let request = CallerRequest::new("GET", "/look/a", "r0");
        request.fetch(gateway.caller_address).status == 200
            && gateway.log_lines().iter().any(|line| line["targets"] == 2)
    });
    let mut open_connection = connect(gateway.caller_address);
    let mut streaming = CallerRequest::new("POST", "/tell/a", "long").send(gateway.caller_address);
    wait_for("the stream", || log.runs_of("long").len() == 1);
    gateway.signal(Signal::TERM);
    wait_for("the node to become unready", || !gateway.is_ready());
    // New and open connections are served. Responses announce that the
    // connection closes.
    let request = CallerRequest::new("GET", "/look/a", "r1");
    assert_eq!(
        request.fetch(gateway.caller_address).header("Connection"),
        Some("close")
    );
    open_connection
        .write_all(&request.encode())
        .expect("a request");
    assert_eq!(RawResponse::read(&mut open_connection).status, 200);
    let answer = RawResponse::read(&mut streaming);
    assert!(answer.is_complete);
    assert!(answer.text().ends_with("data: long 39\n\n"));
    assert!(gateway.wait_exit());
}

#[test]
fn hangup_signal_changes_no_settings_and_closes_no_connections() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    let mut open_connection = connect(gateway.caller_address);
    gateway.signal(Signal::HUP);
    let line = gateway.wait_log_line(|line| line["msg"] == "gateway: Settings read again.");
    assert_eq!(line["changed"], false);
    let request = CallerRequest::new("GET", "/look/a", "r1");
    open_connection
        .write_all(&request.encode())
        .expect("a request");
    assert_eq!(RawResponse::read(&mut open_connection).status, 200);
}

#[test]
fn node_that_was_paused_serves_again() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_registered_target(&store, &log, "t0");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.signal(Signal::STOP);
    store.put("op/config", &config(8, &default_routes()));
    gateway.signal(Signal::CONT);
    gateway.wait_log_line(|line| line["version"] == 8);
    assert_eq!(response_status(&gateway, "/look/a", "key-one"), 200);
}
