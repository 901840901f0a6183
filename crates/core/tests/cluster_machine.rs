//! Unit tests of a single cluster machine, driven event by event.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::{
        ClusterAction, ClusterEvent, ClusterMachine, ClusterSettings, GossipAsk, GossipCall,
        GossipReply, MemberRank, MemberRecord, ReplyToken,
    },
    feed::{FeedKind, FeedLimits},
    ids::{IncarnationNumber, RevisionNumber},
    protocol::FeedPage,
};

mod fake_net;

use self::fake_net::node_id;

/// A machine that has read an empty page of the membership list at time zero, and
/// has a watch of it pending.
fn watching_machine(revision: u64) -> ClusterMachine {
    let settings = ClusterSettings {
        node: node_id(0),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone-0".parse().expect("a valid zone name"),
        incarnation: IncarnationNumber::new(1),
        seeds: Vec::new(),
        limits: FeedLimits::default(),
        rng_seed: 1,
    };
    let mut machine = ClusterMachine::new(settings, ClockTime::ZERO);
    machine.handle(ClusterEvent::Tick, ClockTime::ZERO);
    read_page(&mut machine, revision, ClockTime::ZERO);
    let actions = machine.handle(ClusterEvent::Tick, ClockTime::from_millis(1_000));
    let watches = |action: &ClusterAction| {
        matches!(
            action,
            ClusterAction::ReadFeed {
                feed: FeedKind::Vms,
                ..
            }
        )
    };
    assert!(actions.iter().any(watches));
    machine
}

fn read_page(machine: &mut ClusterMachine, revision: u64, now: ClockTime) {
    let page = FeedPage {
        revision: RevisionNumber::new(revision),
        ..FeedPage::default()
    };
    let feed = FeedKind::Vms;
    machine.handle(ClusterEvent::FeedRead { feed, page }, now);
}

fn confirmed_ago(machine: &mut ClusterMachine, now: ClockTime) -> TimeSpan {
    machine
        .view(now)
        .vms
        .confirmed_ago
        .expect("the feed was confirmed")
}

/// The record of another node with the given incarnation.
fn other_node(incarnation: u64) -> MemberRecord {
    MemberRecord {
        node: node_id(1),
        address: ([127, 0, 0, 1], 2).into(),
        zone: "zone-0".parse().expect("a valid zone name"),
        rank: MemberRank {
            incarnation: IncarnationNumber::new(incarnation),
            ..MemberRank::default()
        },
    }
}

/// The machine's reply to a probe from another node with the given incarnation.
fn reply_to_probe(machine: &mut ClusterMachine, incarnation: u64) -> GossipReply {
    let from = other_node(incarnation);
    let call = Box::new(GossipCall {
        from,
        doubt: None,
        table: 0,
        facts: 0,
        feeds: Default::default(),
        members: Vec::new(),
        handovers: Vec::new(),
        ask: GossipAsk::Probe,
    });
    let token = ReplyToken(incarnation);
    let actions = machine.handle(ClusterEvent::Call { token, call }, ClockTime::ZERO);
    let reply = actions.into_iter().find_map(|action| match action {
        ClusterAction::Reply { reply, .. } => Some(*reply),
        _ => None,
    });
    reply.expect("a reply to the probe")
}

/// The answer to a watch may have waited in a socket while the process was paused.
/// It must not count as a confirmation at the time of its arrival.
#[test]
fn a_delayed_answer_confirms_only_the_time_of_its_watch() {
    let mut machine = watching_machine(3);
    let now = ClockTime::from_millis(60_000);
    read_page(&mut machine, 3, now);
    assert!(confirmed_ago(&mut machine, now) >= TimeSpan::from_secs(56));
}

#[test]
fn a_stale_page_confirms_nothing() {
    for (revision, ago) in [(3, 0), (2, 3_000)] {
        let mut machine = watching_machine(3);
        let now = ClockTime::from_millis(3_000);
        machine.handle(ClusterEvent::Tick, ClockTime::from_millis(2_000));
        read_page(&mut machine, revision, now);
        let expected = TimeSpan::from_millis(ago);
        assert_eq!(confirmed_ago(&mut machine, now), expected);
    }
}

#[test]
fn a_reply_reports_a_later_incarnation_to_an_earlier_one() {
    let mut machine = watching_machine(1);
    assert_eq!(reply_to_probe(&mut machine, 9).doubt, None);
    let doubt = reply_to_probe(&mut machine, 5).doubt;
    let reported = doubt
        .expect("the reply names the later incarnation")
        .incarnation;
    assert_eq!(reported, IncarnationNumber::new(9));
}

#[test]
fn a_reply_with_a_newer_revision_triggers_a_pull() {
    let mut machine = watching_machine(1);
    let mut reply = reply_to_probe(&mut machine, 9);
    let now = ClockTime::from_millis(1_100);
    let actions = machine.handle(ClusterEvent::Tick, now);
    let probe = actions.iter().find_map(|action| match action {
        ClusterAction::Call { id, .. } => Some(*id),
        _ => None,
    });
    let id = probe.expect("a probe of the other node");
    reply.from = other_node(9);
    reply.feeds[0].version.revision = RevisionNumber::new(50);
    let reply = Box::new(reply);
    let actions = machine.handle(ClusterEvent::Reply { id, reply }, now);
    let pulls = actions.iter().filter(|action| match action {
        ClusterAction::Call { call, .. } => matches!(call.ask, GossipAsk::Pull { .. }),
        _ => false,
    });
    assert_eq!(pulls.count(), 1);
}

/// Guards against changes that are learned late because each watch that the platform
/// cuts doubles the backoff.
#[test]
fn a_series_of_cut_watches_does_not_lengthen_the_backoff() {
    let feed = FeedKind::Vms;
    let reads = |actions: &[ClusterAction]| {
        let is_read = |action: &ClusterAction| matches!(action, ClusterAction::ReadFeed { feed: read, .. } if *read == feed);
        actions.iter().any(is_read)
    };
    for (held, longest) in [(200, 400), (10, 4_200)] {
        let mut machine = watching_machine(3);
        let mut now = 1_000 + held;
        let mut waits = Vec::new();
        for _ in 0..8 {
            let failed_at = now;
            machine.handle(
                ClusterEvent::FeedFailed { feed },
                ClockTime::from_millis(now),
            );
            loop {
                now += 50;
                if reads(&machine.handle(ClusterEvent::Tick, ClockTime::from_millis(now))) {
                    break;
                }
            }
            waits.push(now - failed_at);
            now += held;
        }
        let measured = waits.iter().max().copied().unwrap_or_default();
        assert!(measured <= longest, "{waits:?}");
        assert_eq!(
            measured > 400,
            held == 10,
            "refused reads back off: {waits:?}"
        );
    }
}
