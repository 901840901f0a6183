//! A store that is restored from a backup some seconds old: its revision goes back
//! and the same revisions are assigned again.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_routes, register,
    register_with_state, route, wait_for,
};
use verbenahub_platform_standin::{PlainTarget, RawCall, RawReply, RunLog, StoreServer};

/// Longer than the time after a restore for which targets that are missing from
/// the store are kept.
const REMOVAL_DELAY: Duration = Duration::from_secs(3);

/// Gateways with a store and plain targets.
struct RestoreFixture {
    store: StoreServer,
    log: RunLog,
    targets: Vec<PlainTarget>,
    gateways: Vec<GatewayProcess>,
}

impl RestoreFixture {
    /// Starts targets named `t0`, `t1` and so on, and registers the first
    /// `registered` of them in the store.
    fn start(gateways: usize, targets: usize, registered: usize) -> Self {
        let store = StoreServer::start(any_port()).expect("a store");
        store.put("op/config", &config(3, &default_routes()));
        let log = RunLog::default();
        let answer = |call: &RawCall| {
            let id = call.header("Attempt-Id").unwrap_or_default();
            let headers = [("Attempt-Id", id), ("Response-Signature", "3e1b.07")];
            RawReply::answer("200 OK", &headers, b"done")
        };
        let targets: Vec<PlainTarget> = (0..targets)
            .map(|number| {
                let id = format!("t{number}");
                PlainTarget::start(any_port(), &id, &log, answer).expect("a target")
            })
            .collect();
        for (number, target) in targets.iter().take(registered).enumerate() {
            let address = target.server().address();
            register(&store, &format!("t{number}"), "desk", address);
        }
        let gateways = GatewayProcess::start_fleet(gateways, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == registered);
        }
        Self {
            store,
            log,
            targets,
            gateways,
        }
    }

    fn ask(&self, gateway: usize, path: &str, id: &str) -> RawResponse {
        CallerRequest::new("GET", path, id).fetch(self.gateways[gateway].caller_address)
    }

    /// Sends requests through each gateway. Returns the targets that received
    /// any.
    fn used_targets(&self, id_prefix: &str) -> Vec<String> {
        let mut used = Vec::new();
        for gateway in 0..self.gateways.len() {
            for number in 0..12 {
                let id = format!("{id_prefix}-{gateway}-{number}");
                assert_eq!(self.ask(gateway, "/look/a", &id).status, 200, "{id}");
                used.push(self.log.runs_of(&id)[0].target.clone());
            }
        }
        used.sort();
        used.dedup();
        used
    }

    fn register(&self, number: usize) {
        let address = self.targets[number].server().address();
        register(&self.store, &format!("t{number}"), "desk", address);
    }

    fn wait_all<F>(&self, matches: F)
    where
        F: Fn(&Value) -> bool,
    {
        for gateway in &self.gateways {
            gateway.wait_log_line(&matches);
        }
    }
}

fn reports_restore(line: &Value) -> bool {
    line["msg"] == "store: Was restored from a copy."
}

#[test]
fn configuration_written_after_a_restore_is_in_force_at_a_lower_revision() {
    let fixture = RestoreFixture::start(3, 1, 1);
    let backup = fixture.store.snapshot();
    // The restore loses a configuration version, and enough other writes that its
    // revision is not reached again.
    for number in 0..40 {
        fixture.store.put("other/key", &json!(number));
    }
    let mut routes = default_routes();
    routes.push(route("added", "/added/", "idempotent", "desk", 2));
    fixture.store.put("op/config", &config(5, &routes));
    fixture.wait_all(|line| line["msg"] == "config: Version in force." && line["version"] == 5);
    fixture.store.restore(backup);
    fixture.wait_all(reports_restore);
    for gateway in 0..3 {
        let answer = fixture.ask(gateway, "/added/a", &format!("kept-{gateway}"));
        assert_eq!(answer.status, 200, "the last version stays in force");
    }
    routes.push(route("further", "/further/", "idempotent", "desk", 2));
    fixture.store.put("op/config", &config(7, &routes));
    fixture.wait_all(|line| line["msg"] == "config: Version in force." && line["version"] == 7);
    for gateway in 0..3 {
        let answer = fixture.ask(gateway, "/further/a", &format!("new-{gateway}"));
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn revoked_key_stays_revoked_when_the_backup_still_contains_it() {
    let fixture = RestoreFixture::start(3, 1, 1);
    let backup = fixture.store.snapshot();
    let mut without = config(5, &default_routes());
    without["Tenants"] = json!([{ "Name": "home", "ApiKeys": ["key-two"] }]);
    fixture.store.put("op/config", &without);
    fixture.wait_all(|line| line["msg"] == "config: Version in force." && line["version"] == 5);
    fixture.store.restore(backup);
    fixture.register(0);
    fixture.wait_all(reports_restore);
    for gateway in 0..3 {
        let answer = fixture.ask(gateway, "/look/a", &format!("r{gateway}"));
        assert_eq!(answer.status, 401, "at gateway {gateway}");
    }
}

#[test]
fn target_that_left_after_the_backup_does_not_return_with_the_restore() {
    let fixture = RestoreFixture::start(3, 3, 3);
    let backup = fixture.store.snapshot();
    let address = fixture.targets[1].server().address();
    register_with_state(&fixture.store, "t1", "desk", address, "draining");
    fixture.store.remove("servers/t0");
    fixture.wait_all(|line| line["msg"] == "targets: Changed." && line["targets"] == 2);
    wait_for("requests to go to no target that is leaving", || {
        fixture.used_targets("before") == ["t2"]
    });
    fixture.store.restore(backup);
    // The target that is still alive registers again.
    fixture.register(2);
    fixture.wait_all(reports_restore);
    assert_eq!(fixture.used_targets("after"), ["t2"]);
    std::thread::sleep(REMOVAL_DELAY);
    assert_eq!(fixture.used_targets("later"), ["t2"]);
}

#[test]
fn target_that_registered_after_the_backup_keeps_serving_and_new_ones_are_found() {
    let fixture = RestoreFixture::start(2, 3, 1);
    let backup = fixture.store.snapshot();
    fixture.register(1);
    fixture.wait_all(|line| line["targets"] == 2);
    fixture.store.restore(backup);
    fixture.register(2);
    fixture.wait_all(|line| line["targets"] == 3);
    fixture.register(1);
    fixture.register(0);
    std::thread::sleep(REMOVAL_DELAY);
    assert_eq!(fixture.used_targets("after"), ["t0", "t1", "t2"]);
}

#[test]
fn late_listing_from_before_the_restore_is_ignored() {
    let fixture = RestoreFixture::start(1, 3, 1);
    let backup = fixture.store.snapshot();
    fixture.register(1);
    fixture.wait_all(|line| line["targets"] == 2);
    // Two responses from before the restore, one of them after the watch has
    // reported the new era.
    fixture.store.restore_with_stale_pages(backup, 2);
    fixture.register(2);
    fixture.wait_all(|line| {
        let revision = line["revision"].as_str().unwrap_or_default();
        line["msg"] == "targets: Changed." && revision.starts_with("1:")
    });
    assert!(fixture.used_targets("after").contains(&"t2".to_owned()));
}

#[test]
fn two_consecutive_restores_end_in_the_state_of_the_second() {
    let fixture = RestoreFixture::start(2, 2, 1);
    let first = fixture.store.snapshot();
    fixture
        .store
        .put("op/config", &config(5, &default_routes()));
    let second = fixture.store.snapshot();
    fixture.store.restore(first);
    fixture.store.restore(second);
    fixture.register(1);
    let mut routes = default_routes();
    routes.push(route("added", "/added/", "idempotent", "desk", 2));
    fixture.store.put("op/config", &config(9, &routes));
    fixture.wait_all(|line| line["msg"] == "config: Version in force." && line["version"] == 9);
    fixture.wait_all(|line| line["targets"] == 2);
    assert_eq!(fixture.used_targets("after"), ["t0", "t1"]);
}
