//! Names in the operator's configuration, which may hold any characters.

mod support;

use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    route, target_record,
};
use verbenahub_platform_standin::{PlainTarget, RawCall, RawReply, RunLog, StoreServer};

/// Names that a header can hold, some of which look like one another once they are
/// escaped or trimmed.
const ODD_NAMES: &[&str] = &[
    "Half Way Tree Grocers",
    "Half  Way",
    "Half_Way",
    "Half%20Way",
    "a/b?c=d&e#f",
    "a,b;c:d=e",
    "\"quoted\" \\ {name}",
    "Bl\u{e4}tter \u{4e16}\u{754c} \u{1f600}",
    "e\u{301}",
    "\u{e9}",
];

fn reply_done(call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"done")
}

fn start_target(store: &StoreServer, log: &RunLog, id: &str) -> PlainTarget {
    let target = PlainTarget::start(any_port(), id, log, reply_done).expect("a target");
    register(store, id, "desk", target.server().address());
    target
}

fn status(gateway: &GatewayProcess, path: &str, id: &str, key: &'static str) -> u16 {
    let request = CallerRequest {
        api_key: Some(key),
        ..CallerRequest::new("GET", path, id)
    };
    request.fetch(gateway.caller_address).status
}

/// Workspace that the target was told with a request.
fn workspace_of(log: &RunLog, id: &str) -> Option<String> {
    let runs = log.runs_of(id);
    runs[0].call.header("Tenant").map(str::to_owned)
}

fn config_with_tenants(version: u64, tenants: &Value) -> Value {
    let mut config = config(version, &default_routes());
    config["Tenants"] = tenants.clone();
    config
}

/// Guards against keys that stay in use after they were withdrawn. The name of a tenant
/// with a blank kept each version of the configuration that holds it out of force.
#[test]
fn tenant_may_have_any_name_that_a_header_can_hold() {
    let longest = "n".repeat(1_000);
    let names: Vec<&str> = ODD_NAMES
        .iter()
        .copied()
        .chain([longest.as_str()])
        .collect();
    let store = default_store();
    let log = RunLog::default();
    let _target = start_target(&store, &log, "t0");
    let gateways = GatewayProcess::start_fleet(2, store.address());
    for (number, name) in names.iter().enumerate() {
        let version = 10 + 2 * u64::try_from(number).expect("a small number");
        let key = json!({ "Name": "inn", "ApiKeys": ["key-one"] });
        store.put("op/config", &config_with_tenants(version, &json!([key])));
        let odd = json!({ "Name": name, "ApiKeys": ["key-two"] });
        store.put(
            "op/config",
            &config_with_tenants(version + 1, &json!([odd])),
        );
        for (index, gateway) in gateways.iter().enumerate() {
            gateway.wait_log_line(|line| {
                line["msg"] == "config: Version in force." && line["version"] == version + 1
            });
            let id = format!("r{number}-{index}");
            assert_eq!(status(gateway, "/look/a", &id, "key-two"), 200, "{name:?}");
            assert_eq!(workspace_of(&log, &id).as_deref(), Some(*name));
            assert_eq!(status(gateway, "/look/a", &id, "key-one"), 401, "{name:?}");
        }
    }
}

/// Guards against the same for a name that can't be sent in a header: its keys alone are
/// refused.
#[test]
fn tenant_with_an_unusable_name_keeps_no_withdrawn_key_in_use() {
    let store = default_store();
    let log = RunLog::default();
    let _target = start_target(&store, &log, "t0");
    let gateways = GatewayProcess::start_fleet(2, store.address());
    let tenants = json!([
        { "Name": "mill\r\nTenant: inn", "ApiKeys": ["key-one"] },
        { "Name": "home", "ApiKeys": ["key-three"] }
    ]);
    store.put("op/config", &config_with_tenants(8, &tenants));
    for gateway in &gateways {
        gateway.wait_log_line(|line| {
            line["msg"] == "config: Version in force." && line["version"] == 8
        });
        assert_eq!(status(gateway, "/look/a", "r1", "key-three"), 200);
        assert_eq!(status(gateway, "/look/a", "r2", "key-one"), 401);
        assert_eq!(status(gateway, "/look/a", "r3", "key-two"), 401);
    }
    let lines = gateways.iter().flat_map(GatewayProcess::log_lines);
    let mut unusable =
        lines.filter(|line| line["msg"] == "config: Tenant not usable, its keys are refused.");
    let line = unusable.next().expect("a log line");
    let error = line["error"].as_str().expect("a text");
    assert!(error.contains("Tenants[0].Name"), "{error}");
}

/// Guards against routes without targets: a service or a zone may have any name, too.
#[test]
fn services_and_zones_may_have_any_name() {
    for name in ODD_NAMES {
        let store = default_store();
        let log = RunLog::default();
        let target = PlainTarget::start(any_port(), "t0", &log, reply_done).expect("a target");
        let mut record = target_record(name, target.server().address());
        record["Zone"] = json!(name);
        store.put("servers/t0", &record);
        let mut changed = config(8, &[route("odd", "/odd/", "idempotent", name, 2)]);
        let services = changed["Services"].as_array_mut().expect("services");
        services.push(json!({ "Name": name, "HealthPath": "/health", "MaxConns": 100 }));
        store.put("op/config", &changed);
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 1);
        assert_eq!(status(&gateway, "/odd/a", "r1", "key-one"), 200, "{name:?}");
        let metrics = gateway.metrics_text();
        assert!(metrics.contains("verbenahub_gateway_members"), "{name:?}");
    }
}
