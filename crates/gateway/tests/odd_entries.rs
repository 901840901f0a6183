//! Entries of another writer in the platform's store, under names and with contents
//! that name no target. All other entries must stay in force.

mod support;

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, any_port, default_store, register, target_record, wait_for,
};
use verbenahub_platform_standin::{
    PlainTarget, RawCall, RawReply, RunLog, StoreFault, StoreServer,
};

/// Names of entries with characters that have a meaning in a URL or in HTTP, or that
/// look like an encoded name.
const ODD_NAMES: &[&str] = &[
    "m&n",
    "m+n",
    "m#n",
    "m%n",
    "m n",
    "m%20n",
    "m%41n",
    "m%7En",
    "m&After=op/",
    "m&Prefix=none",
    "m=n?o/p",
    "m\"n\\o",
    "m\r\nn: o",
    "m\u{0}n",
    "m\u{e9}\u{4e16}\u{1f600}n",
    "",
    " ",
];
/// Number of entries that fill more than a page of the store.
const ENTRY_COUNT: usize = 6;

fn reply_done(call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"done")
}

fn start_target(store: &StoreServer, log: &RunLog, id: &str) -> PlainTarget {
    let target = PlainTarget::start(any_port(), id, log, reply_done).expect("the target starts");
    register(store, id, "desk", target.server().address());
    target
}

/// Starts targets whose names are sorted before, among and after those of the odd
/// entries. The first four keys of the store leave room for one more on its first page.
fn start_targets_around(store: &StoreServer, log: &RunLog) -> Vec<PlainTarget> {
    let ids = ["a0", "a1", "a2", "mm", "z0", "z1", "z2", "z3"];
    ids.iter().map(|id| start_target(store, log, id)).collect()
}

fn assert_serves(gateway: &GatewayProcess, case: &str) {
    for number in 0..8 {
        let request = CallerRequest::new("GET", "/look/a", &format!("r{number}"));
        let status = request.fetch(gateway.caller_address).status;
        assert_eq!(status, 200, "{case:?}");
    }
}

/// All gateways start while the entry stands, and each has to list the store to learn
/// the configuration.
#[test]
fn gateways_start_while_an_entry_with_an_odd_name_stands() {
    for name in ODD_NAMES {
        let store = default_store();
        let log = RunLog::default();
        let targets = start_targets_around(&store, &log);
        for number in 0..ENTRY_COUNT {
            store.put(
                &format!("servers/{name}{number}"),
                &json!({ "Note": "not a target" }),
            );
        }
        let gateways = GatewayProcess::start_fleet(2, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == targets.len());
            assert_serves(gateway, name);
        }
    }
}

/// The record is complete, but its name is not one that a target can have.
#[test]
fn complete_record_under_an_odd_name_names_no_target() {
    for name in ODD_NAMES {
        let store = default_store();
        let log = RunLog::default();
        let targets = start_targets_around(&store, &log);
        let odd = RunLog::default();
        let other = PlainTarget::start(any_port(), name, &odd, reply_done);
        let other = other.expect("the target starts");
        let key = format!("servers/{name}");
        store.put(&key, &target_record("desk", other.server().address()));
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == targets.len());
        assert_serves(&gateway, name);
        assert_eq!(odd.runs(), [], "{name:?}");
    }
}

/// Entries with odd names fill several pages, and they change while gateways run.
#[test]
fn pages_of_entries_with_odd_names_are_read_completely() {
    let store = default_store();
    let log = RunLog::default();
    let targets = start_targets_around(&store, &log);
    for name in ODD_NAMES {
        store.put(&format!("servers/{name}"), &json!({ "Note": 1 }));
        store.put(&format!("op/evacuate/{name}"), &json!({}));
        store.put(&format!("other/{name}"), &json!({}));
    }
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == targets.len());
    assert_serves(&gateway, "pages");
    for name in ODD_NAMES {
        store.put(&format!("servers/{name}"), &json!({ "Note": 2 }));
        store.remove(&format!("op/evacuate/{name}"));
    }
    let _later = start_target(&store, &log, "late");
    gateway.wait_log_line(|line| line["targets"] == targets.len() + 1);
    let calls = store.call_count();
    wait_for("the next watch", || store.call_count() > calls);
    assert_serves(&gateway, "changes");
}

/// Items that don't have the form of the protocol, among those of the targets, before
/// the gateway starts and while it runs.
#[test]
fn items_of_another_form_leave_the_others_in_force() {
    let odd_items = |prefix: &str| {
        let key = |number: usize| format!("servers/{prefix}{number}");
        [
            json!({ "Value": "e30=", "Revision": 3 }),
            json!({ "Key": 5, "Value": "e30=", "Revision": 3 }),
            json!({ "Key": key(2), "Value": 5, "Revision": 3 }),
            json!({ "Key": key(3), "Value": "e30=" }),
            json!({ "Key": key(4), "Value": "e30=", "Revision": "x" }),
            json!({ "Key": key(5), "Value": "e30=", "Revision": 3, "Tombstone": 1 }),
            json!(null),
            json!("text"),
        ]
    };
    let put_items = |store: &StoreServer, prefix: &str| {
        for (number, item) in odd_items(prefix).iter().enumerate() {
            store.put_item(&format!("servers/{prefix}{number}"), item);
        }
    };
    let store = default_store();
    let log = RunLog::default();
    let targets = start_targets_around(&store, &log);
    put_items(&store, "m");
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == targets.len());
    assert_serves(&gateway, "listing");
    gateway.wait_log_line(|line| line["msg"] == "store: Item is unreadable.");
    put_items(&store, "n");
    let _later = start_target(&store, &log, "late");
    gateway.wait_log_line(|line| line["targets"] == targets.len() + 1);
    store.remove("servers/a0");
    wait_for("the removal", || {
        let lines = gateway.log_lines();
        let mut changes = lines
            .iter()
            .rev()
            .filter_map(|line| line["targets"].as_u64());
        changes.next() == Some(targets.len() as u64)
    });
    assert_serves(&gateway, "changes");
}

/// Another writer writes over the entry of a target with one that names none, or a
/// target of a service that no route has. A gateway that watches the store stops using
/// the target like one that lists it, until the target writes its entry again.
#[test]
fn target_whose_entry_is_written_over_gets_no_requests() {
    let no_target = |field: &str, value: serde_json::Value| {
        let mut record = target_record("desk", any_port());
        record[field] = value;
        record.to_string().into_bytes()
    };
    for (value, known_targets) in [
        (b"\xff\xfe{".to_vec(), 1),
        (b"".to_vec(), 1),
        (b"null".to_vec(), 1),
        (b"{}".to_vec(), 1),
        (no_target("State", json!("stopped")), 1),
        (no_target("State", json!(7)), 1),
        (no_target("Service", json!(null)), 1),
        (no_target("Service", json!("")), 1),
        (no_target("Service", json!("no service")), 2),
        (no_target("Address", json!("nowhere")), 1),
    ] {
        let case = value.escape_ascii();
        let store = default_store();
        let log = RunLog::default();
        let target = start_target(&store, &log, "t0");
        let _other = start_target(&store, &log, "t1");
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 2);
        let changes = || {
            let lines = gateway.log_lines();
            let changes = lines.into_iter();
            let changes = changes.filter(|line| line["msg"] == "targets: Changed.");
            changes.collect::<Vec<_>>()
        };
        let change_count = changes().len();
        store.put_bytes("servers/t0", &value);
        wait_for("the change of targets", || changes().len() > change_count);
        let change = changes().pop().expect("a change");
        assert_eq!(change["targets"], known_targets, "{case}");
        assert_eq!(change["source"], "watch", "{case}");
        let before = log.runs().len();
        assert_serves(&gateway, "written over");
        let runs = &log.runs()[before..];
        assert!(runs.iter().all(|run| run.target == "t1"), "{case}");
        register(&store, "t0", "desk", target.server().address());
        wait_for("requests to the target", || {
            let before = log.runs().len();
            assert_serves(&gateway, "written again");
            log.runs()[before..].iter().any(|run| run.target == "t0")
        });
    }
}

/// The store doesn't find the key after which a page begins. The listing fails instead
/// of collecting the same page without end, and is tried again.
#[test]
fn listing_whose_pages_are_repeated_fails_and_is_tried_again() {
    let store = default_store();
    let log = RunLog::default();
    let targets = start_targets_around(&store, &log);
    store.set_fault(StoreFault::FirstPage);
    let gateway = GatewayProcess::start("n1", store.address(), &[]);
    gateway.wait_log_line(|line| line["error"] == "a page of the listing was repeated");
    assert!(!gateway.is_ready());
    store.set_fault(StoreFault::None);
    gateway.wait_ready();
    gateway.wait_log_line(|line| line["targets"] == targets.len());
    assert_serves(&gateway, "the listing is complete");
    store.set_fault(StoreFault::FirstPage);
    store.compact();
    gateway.wait_log_line(|line| line["msg"] == "store: Contact lost.");
    assert_serves(&gateway, "the targets of the last listing");
}
