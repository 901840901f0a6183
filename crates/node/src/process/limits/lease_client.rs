use std::{net::SocketAddr, sync::Arc};

use http_types::{Method, Request, Url};
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    policy::limits::{AddressedBatch, LeaseBatch, LeaseReply},
    protocol::headers,
    units::ByteSize,
};

use super::LEASE_PATH;
use crate::{
    connection::ConnectionChoice, consts::MESSAGE_TYPE, process::NodeState, process::TaskGroup,
};

/// Interval at which leases are asked for.
const LEASE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Time for a call to a home.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(800);
/// Largest reply.
const REPLY_LIMIT: ByteSize = ByteSize::from_mib(1);

/// Asks for leases at regular intervals, until it is cancelled. Calls run as
/// tasks of `calls`.
pub async fn run_leases(node: Arc<NodeState>, calls: TaskGroup) {
    loop {
        let view = node.cluster.view();
        node.limits
            .follow(&view, &node.config.snapshot(), node.now());
        Timer::after(LEASE_INTERVAL.into()).await;
        let now = node.now();
        for batch in node.limits.end_interval(LEASE_INTERVAL, now) {
            send_batch(&node, batch, now, &calls);
        }
    }
}

fn send_batch(node: &Arc<NodeState>, batch: AddressedBatch, now: ClockTime, calls: &TaskGroup) {
    let AddressedBatch { owner: home, batch } = batch;
    if home == node.settings.node {
        let reply = node.limits.answer(&batch, now);
        node.limits.take_reply(&reply, now, now);
        return;
    }
    let view = node.cluster.view();
    let Some(member) = view.members.get(&home) else {
        return;
    };
    let address = member.address;
    let node = Arc::clone(node);
    calls.spawn(async move {
        // Without a reply the node keeps to its share.
        if let Some(reply) = ask_home(&node, address, &batch).await {
            node.limits.take_reply(&reply, now, node.now());
        }
    });
}

async fn ask_home(node: &NodeState, address: SocketAddr, batch: &LeaseBatch) -> Option<LeaseReply> {
    let url = Url::parse(&format!("http://{address}{LEASE_PATH}")).ok()?;
    let mut call = Request::new(Method::Post, url);
    call.insert_header("content-type", MESSAGE_TYPE);
    call.insert_header(
        headers::CLUSTER_SECRET,
        node.settings.cluster_secret.expose(),
    );
    call.set_body(rmp_serde::to_vec(batch).ok()?);
    let choice = ConnectionChoice::Reuse;
    let response = node.clients.call(address, call, choice, CALL_TIMEOUT).await;
    let response = response.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.into_body(REPLY_LIMIT, CALL_TIMEOUT).await.ok()?;
    rmp_serde::from_slice(&body).ok()
}
