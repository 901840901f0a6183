//! What operators and the platform's balancer see of a node.

use http_types::{Response, StatusCode};
use verbenahub_core::{
    clock::TimeSpan,
    cluster::{FeedSummary, ViewMember},
    protocol::{FeedStatus, MemberStatus, NodeStatus, TargetStatus, VmState},
};

use crate::process::NodeState;

/// Answers the balancer's question whether the node takes requests.
#[must_use]
pub fn ready(node: &NodeState) -> Response {
    match node.unready_reason() {
        None => Response::new(StatusCode::Ok),
        Some(reason) => {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.set_body(reason);
            response
        }
    }
}

/// Answers with the metrics.
#[must_use]
pub fn metrics(node: &NodeState) -> Response {
    set_gauges(node);
    set_pool_gauges(node);
    match node.metrics.encode() {
        Ok(text) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(text);
            response.insert_header("content-type", "text/plain; version=0.0.4");
            response
        }
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

/// Answers with the state of the node.
#[must_use]
pub fn report(node: &NodeState) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(&node_status(node)).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

/// Brings the gauges up to date that follow from other state.
fn set_gauges(node: &NodeState) {
    let status = node_status(node);
    let metrics = &node.metrics;
    metrics.ready.set(i64::from(status.ready));
    metrics.findings.set(as_gauge(status.findings.len() as u64));
    for (name, feed) in [("config", status.config), ("vms", status.vms)] {
        let labels = [name];
        let revision = metrics.feed_revision.with_label_values(&labels);
        revision.set(as_gauge(feed.revision.get()));
        let age = metrics.feed_age.with_label_values(&labels);
        age.set(as_gauge(feed.confirmed_ago_ms));
    }
    for state in ["alive", "suspect", "leaving", "dead"] {
        let members = status.members.iter();
        let count = members.filter(|member| member.state == state).count();
        let gauge = metrics.members.with_label_values(&[state]);
        gauge.set(as_gauge(count as u64));
    }
}

/// Brings the gauges of the pools' slots up to date.
fn set_pool_gauges(node: &NodeState) {
    for gate in node.admission.gates() {
        let pool = gate.pool.as_str();
        let metrics = &node.metrics;
        let slots = metrics.pool_slots.with_label_values(&[pool]);
        slots.set(whole(gate.status.limit));
        let running = metrics.pool_calls.with_label_values(&[pool, "running"]);
        running.set(i64::from(gate.status.running));
        let waiting = metrics.pool_calls.with_label_values(&[pool, "waiting"]);
        waiting.set(as_gauge(gate.status.waiting as u64));
    }
}

// Slots are few; the fraction is of no interest.
#[allow(clippy::cast_possible_truncation)]
fn whole(value: f64) -> i64 {
    value as i64
}

fn as_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn node_status(node: &NodeState) -> NodeStatus {
    let reason = node.unready_reason();
    let findings = node.config.snapshot().findings();
    let view = node.cluster.view();
    let members = view.members.live.iter().chain(&view.members.others);
    NodeStatus {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        zone: node.settings.zone.clone(),
        ready: reason.is_none(),
        reason,
        config: feed_status(&view.config),
        vms: feed_status(&view.vms),
        members: members.map(member_status).collect(),
        targets: target_status(node),
        findings: findings.iter().map(ToString::to_string).collect(),
    }
}

fn feed_status(summary: &FeedSummary) -> FeedStatus {
    FeedStatus {
        revision: summary.version.revision,
        digest: summary.version.digest,
        confirmed_ago_ms: summary.confirmed_ago.map_or(u64::MAX, TimeSpan::as_millis),
        reader: summary.reader,
    }
}

fn member_status(member: &ViewMember) -> MemberStatus {
    MemberStatus {
        node: member.node.clone(),
        incarnation: member.incarnation,
        state: member.state.to_owned(),
    }
}

fn target_status(node: &NodeState) -> Vec<TargetStatus> {
    let now = node.now();
    let map = node.targets.map();
    let targets = map.targets().map(|vm| TargetStatus {
        target: vm.target.clone(),
        state: if vm.is_leaving() {
            VmState::Leaving
        } else {
            VmState::Live
        },
        usable: !vm.is_leaving() && !vm.is_ejected(now),
        in_flight: vm.stats.in_flight(),
    });
    targets.collect()
}
