//! Gateways that learn of changes from others, while those that read the store for them
//! are lost.

mod support;

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    wait_for,
};
use verbenahub_core::{clock::TimeSpan, ids::StoreRevision, routes::ConfigRank};
use verbenahub_gateway::peers::{
    FOLLOW_PATH, FollowRequest, PeerClient, ReplicaStatus, UpdateReply,
};
use verbenahub_platform_standin::{FaultProxy, LinkFault, PlainTarget, RawCall, RawReply, RunLog};

/// Number of gateways of which four read the store.
const FLEET_SIZE: usize = 7;
const READER_COUNT: usize = 4;
/// Interval at which the readers are compared with those before, how often they have to be
/// the same, and the maximum number of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const STEADY_CHECKS: usize = 6;
const MAX_CHECKS: usize = 60;
/// Longest wait of a long poll, which a node that can't learn of changes must not use.
const LONG_WAIT: TimeSpan = TimeSpan::from_secs(15);

fn reply_done(call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"done")
}

/// Whether a gateway reads the store, by its last line about it.
fn reads_store(gateway: &GatewayProcess) -> bool {
    let lines = gateway.log_lines();
    let messages = lines.iter().rev().filter_map(|line| line["msg"].as_str());
    let mut messages =
        messages.filter(|text| ["news: Reads the store.", "news: Follows others."].contains(text));
    messages.next() == Some("news: Reads the store.")
}

/// Waits until the gateways have settled on those that read the store. Returns these and
/// the others.
fn wait_readers(fleet: &[GatewayProcess]) -> (Vec<&GatewayProcess>, Vec<&GatewayProcess>) {
    let mut steady_checks = 0;
    let mut previous = Vec::new();
    for _ in 0..MAX_CHECKS {
        let readers: Vec<bool> = fleet.iter().map(reads_store).collect();
        let count = readers.iter().filter(|reads| **reads).count();
        steady_checks = if count == READER_COUNT && readers == previous {
            steady_checks + 1
        } else {
            0
        };
        if steady_checks == STEADY_CHECKS {
            return fleet.iter().partition(|gateway| reads_store(gateway));
        }
        previous = readers;
        thread::sleep(CHECK_INTERVAL);
    }
    panic!("the readers of the store do not settle");
}

fn follow(client: &PeerClient, address: SocketAddr, request: &FollowRequest) -> UpdateReply {
    let timeout = request.wait + TimeSpan::from_secs(5);
    smol::block_on(client.call(address, FOLLOW_PATH, request, timeout)).expect("a reply")
}

/// Guards against withdrawn keys and leaving targets in use. Nodes that had lost all
/// readers kept each other waiting for changes that none of them could learn of.
#[test]
fn node_that_does_not_read_the_store_keeps_nobody_waiting() {
    let store = default_store();
    let log = RunLog::default();
    let target = PlainTarget::start(any_port(), "t0", &log, reply_done).expect("a target");
    register(&store, "t0", "desk", target.server().address());
    let fleet = GatewayProcess::start_fleet(FLEET_SIZE, store.address());
    let (_, others) = wait_readers(&fleet);
    let client = PeerClient::default();
    let nothing = ReplicaStatus {
        config: ConfigRank::default(),
        targets: StoreRevision::ZERO,
        age: None,
        is_settled: true,
        reads_store: false,
    };
    for gateway in others {
        let request = FollowRequest {
            holding: nothing.clone(),
            wait: TimeSpan::ZERO,
        };
        let reply = follow(&client, gateway.peer_address, &request);
        let request = FollowRequest {
            holding: reply.holding,
            wait: LONG_WAIT,
        };
        let sent = Instant::now();
        let reply = follow(&client, gateway.peer_address, &request);
        assert!(reply.config.is_none(), "there is no news");
        assert!(sent.elapsed() < Duration::from(LONG_WAIT) / 2);
    }
}

/// All readers are lost in different ways, and come back.
#[test]
fn change_reaches_the_other_nodes_while_all_readers_are_lost() {
    let store = default_store();
    let log = RunLog::default();
    let target = PlainTarget::start(any_port(), "t0", &log, reply_done).expect("a target");
    register(&store, "t0", "desk", target.server().address());
    let links: Vec<FaultProxy> = (0..FLEET_SIZE)
        .map(|_| FaultProxy::start(store.address()).expect("a link"))
        .collect();
    let mut fleet: Vec<GatewayProcess> = Vec::new();
    for (index, link) in links.iter().enumerate() {
        let seeds: Vec<_> = fleet.iter().map(|process| process.peer_address).collect();
        fleet.push(GatewayProcess::start(
            &format!("n{index}"),
            link.address(),
            &seeds,
        ));
    }
    for gateway in &fleet {
        gateway.wait_ready();
        gateway.wait_member_count(FLEET_SIZE);
    }
    let (readers, others) = wait_readers(&fleet);
    readers[0].signal(Signal::STOP);
    for (index, gateway) in fleet.iter().enumerate() {
        if readers[1..]
            .iter()
            .any(|reader| std::ptr::eq(*reader, gateway))
        {
            let fault = if index % 2 == 0 {
                LinkFault::Reset
            } else {
                LinkFault::StallReplies
            };
            links[index].set(fault);
        }
    }
    let mut revoked = config(8, &default_routes());
    revoked["Tenants"] = serde_json::json!([{ "Name": "inn", "ApiKeys": ["key-two"] }]);
    store.put("op/config", &revoked);
    for gateway in &others {
        gateway.wait_log_line(|line| {
            line["msg"] == "config: Version in force." && line["version"] == 8
        });
        for (key, status) in [("key-one", 401), ("key-two", 200)] {
            let request = CallerRequest {
                api_key: Some(key),
                ..CallerRequest::new("GET", "/look/a", "r1")
            };
            assert_eq!(request.fetch(gateway.caller_address).status, status);
        }
    }
    // One of them reads the store for all.
    wait_for("one reader", || {
        others.iter().filter(|gateway| reads_store(gateway)).count() == 1
    });
    for link in &links {
        link.set(LinkFault::None);
    }
    readers[0].signal(Signal::CONT);
    wait_for("the readers to take over", || {
        others.iter().all(|gateway| !reads_store(gateway))
    });
    store.put("op/config", &config(9, &default_routes()));
    for gateway in &fleet {
        gateway.wait_log_line(|line| {
            line["msg"] == "config: Version in force." && line["version"] == 9
        });
    }
}
