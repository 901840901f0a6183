//! Handover of a ledger, and the nodes that a forwarded call visits.

#[allow(dead_code, reason = "other tests use the rest of the fixture")]
mod ticket_fixture;

use std::net::SocketAddr;

use assert_matches::assert_matches;
use verbenahub_core::{
    clock::TimeSpan,
    ticket::{
        CallTicket, ClaimDecision, IssueRefusal, TicketHolder, TicketLedger, TicketRefusal,
        forward::{ForwardEvent, ForwardFailure, ForwardRoute, ForwardStep},
        handover::{
            DeclineReason, HandoverEvent, HandoverMachine, HandoverOffer, HandoverReply,
            HandoverStep, HandoverTiming,
        },
    },
};

use crate::ticket_fixture::{LIFETIME, answer, at, claim, holder, issue, ledger, run, try_issue};

const PAUSE: TimeSpan = TimeSpan::from_millis(50);

fn seal_and_offer(ledger: &mut TicketLedger<u32>, to: &TicketHolder) -> HandoverOffer {
    let seal = ledger.seal().unwrap();
    ledger.offer(&seal, to.incarnation.clone(), at(100))
}

fn issue_many(ledger: &mut TicketLedger<u32>, count: usize) -> Vec<CallTicket> {
    (0..count).map(|_| issue(ledger)).collect()
}

fn machine(nodes: &[u16]) -> HandoverMachine {
    let timing = HandoverTiming {
        pause: PAUSE,
        give_up_at: at(1_000),
    };
    HandoverMachine::new(nodes.iter().map(|node| holder(*node)), timing)
}

fn offer_step(node: u16, pause: TimeSpan) -> HandoverStep {
    let to = holder(node);
    HandoverStep::Offer { to, pause }
}

fn address(node: u16) -> SocketAddr {
    holder(node).address
}

#[test]
fn successor_runs_unused_tickets_and_repeats_answered_ones() {
    let (mut old, mut new) = (ledger(1, 8), ledger(2, 8));
    let issued = issue_many(&mut old, 3);
    let answered = run(&mut old, &issued[0], at(0));
    let _ = old.finish(answered, answer("booked"));
    let _running = run(&mut old, &issued[1], at(0));
    let offer = seal_and_offer(&mut old, &holder(2));
    let bytes = rmp_serde::to_vec(&offer).unwrap();
    let offer: HandoverOffer = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(new.adopt(&offer, at(5_000)), HandoverReply::Adopted);
    let decision = claim(&mut new, &issued[0], at(5_001));
    assert_matches!(decision, ClaimDecision::Repeat(kept) if kept == answer("booked"));
    let decision = claim(&mut new, &issued[1], at(5_001));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Unknown));
    let _second = run(&mut new, &issued[2], at(5_001));
    let expired = at(5_000 + LIFETIME.as_millis() - 100);
    let decision = claim(&mut new, &issued[0], expired);
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Lost));
}

#[test]
fn calls_wait_at_a_sealed_ledger_until_the_successor_is_known() {
    let mut old = ledger(1, 8);
    let ticket = issue(&mut old);
    let seal = old.seal().unwrap();
    assert!(old.seal().is_none());
    assert_eq!(try_issue(&mut old, None, at(1)), Err(IssueRefusal::Sealed));
    let token =
        assert_matches!(claim(&mut old, &ticket, at(1)), ClaimDecision::Join(token) => token);
    assert_eq!(old.join(token, 5), Ok(()));
    assert_eq!(old.release(seal, Some(holder(2))), [5]);
    let decision = claim(&mut old, &ticket, at(2));
    assert_matches!(decision, ClaimDecision::Moved(to) if to == holder(2));
}

#[test]
fn tickets_without_a_successor_are_lost() {
    let mut old = ledger(1, 8);
    let ticket = issue(&mut old);
    let seal = old.seal().unwrap();
    assert!(old.release(seal, None).is_empty());
    let decision = claim(&mut old, &ticket, at(2));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Lost));
}

#[test]
fn declined_offer_stays_declined_when_there_is_room_later() {
    let (mut old, mut new) = (ledger(1, 4), ledger(2, 4));
    let _issued = issue_many(&mut old, 3);
    let _own = issue_many(&mut new, 2);
    let offer = seal_and_offer(&mut old, &holder(2));
    let declined = HandoverReply::Declined(DeclineReason::Full);
    assert_eq!(new.adopt(&offer, at(1)), declined);
    let after_expiry = at(LIFETIME.as_millis());
    assert_eq!(new.adopt(&offer, after_expiry), declined);
}

#[test]
fn adopted_offer_is_confirmed_again_and_changes_nothing() {
    let (mut old, mut new) = (ledger(1, 8), ledger(2, 8));
    let ticket = issue(&mut old);
    let offer = seal_and_offer(&mut old, &holder(2));
    assert_eq!(new.adopt(&offer, at(1)), HandoverReply::Adopted);
    let _claim = run(&mut new, &ticket, at(2));
    assert_eq!(new.adopt(&offer, at(3)), HandoverReply::Adopted);
    assert_matches!(claim(&mut new, &ticket, at(4)), ClaimDecision::Join(_));
}

#[test]
fn offer_to_another_incarnation_is_declined() {
    let (mut old, mut new) = (ledger(1, 8), ledger(2, 8));
    let offer = seal_and_offer(&mut old, &holder(3));
    let declined = HandoverReply::Declined(DeclineReason::NotAddressee);
    assert_eq!(new.adopt(&offer, at(1)), declined);
}

#[test]
fn refused_connection_leads_to_the_next_successor() {
    let mut machine = machine(&[2, 3]);
    assert_eq!(machine.begin(), offer_step(2, TimeSpan::ZERO));
    assert_eq!(
        machine.handle(HandoverEvent::NotConnected, at(0)),
        offer_step(3, TimeSpan::ZERO)
    );
    let adopted = HandoverEvent::Replied(HandoverReply::Adopted);
    assert_eq!(
        machine.handle(adopted, at(1)),
        HandoverStep::Done(holder(3))
    );
}

#[test]
fn after_a_lost_reply_only_the_same_successor_gets_offers() {
    let mut machine = machine(&[2, 3]);
    assert_eq!(
        machine.handle(HandoverEvent::ReplyLost, at(0)),
        offer_step(2, PAUSE)
    );
    assert_eq!(
        machine.handle(HandoverEvent::NotConnected, at(50)),
        offer_step(2, PAUSE)
    );
    let other_incarnation = HandoverReply::Declined(DeclineReason::NotAddressee);
    assert_eq!(
        machine.handle(HandoverEvent::Replied(other_incarnation), at(100)),
        offer_step(2, PAUSE)
    );
    assert_eq!(
        machine.handle(HandoverEvent::NotConnected, at(951)),
        HandoverStep::Lost
    );
}

#[test]
fn declined_offer_goes_to_the_next_successor() {
    let mut machine = machine(&[2, 3]);
    assert_eq!(
        machine.handle(HandoverEvent::ReplyLost, at(0)),
        offer_step(2, PAUSE)
    );
    let declined = HandoverEvent::Replied(HandoverReply::Declined(DeclineReason::Full));
    assert_eq!(
        machine.handle(declined, at(50)),
        offer_step(3, TimeSpan::ZERO)
    );
    assert_eq!(machine.handle(declined, at(50)), HandoverStep::Lost);
}

#[test]
fn forwarded_call_follows_the_ticket() {
    let mut route = ForwardRoute::new(address(1), [address(2)]);
    assert_eq!(route.begin(), ForwardStep::Call(address(1)));
    let moved = ForwardEvent::Moved(address(3));
    assert_eq!(route.handle(moved), ForwardStep::Call(address(3)));
    assert_eq!(
        route.handle(ForwardEvent::NotOwner),
        ForwardStep::Call(address(2))
    );
    assert_eq!(
        route.handle(ForwardEvent::Answered),
        ForwardStep::ReturnAnswer
    );
}

#[test]
fn call_without_a_holder_ends_as_unknown() {
    let mut route = ForwardRoute::new(address(1), [address(2), address(1)]);
    assert_eq!(
        route.handle(ForwardEvent::NotConnected),
        ForwardStep::Call(address(2))
    );
    let gone = ForwardStep::GiveUp(ForwardFailure::HolderGone);
    assert_eq!(route.handle(ForwardEvent::NotOwner), gone);
}

#[test]
fn lost_answer_is_requested_from_the_same_node_first() {
    let mut route = ForwardRoute::new(address(1), [address(2)]);
    assert_eq!(
        route.handle(ForwardEvent::AnswerLost),
        ForwardStep::Call(address(1))
    );
    assert_eq!(
        route.handle(ForwardEvent::AnswerLost),
        ForwardStep::Call(address(2))
    );
    let lost = ForwardStep::GiveUp(ForwardFailure::AnswerLost);
    assert_eq!(route.handle(ForwardEvent::NotConnected), lost);
}
