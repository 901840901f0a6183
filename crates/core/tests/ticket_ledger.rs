//! Single decisions of the ticket ledger.

#[allow(dead_code, reason = "other tests use the rest of the fixture")]
mod ticket_fixture;

use assert_matches::assert_matches;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{PipelineName, StageName},
    protocol::{AnswerOutcome, ErrorCode},
    request::{AnswerClass, TargetRefusal},
    ticket::{BodyDigest, ClaimDecision, EffectRefusal, IssueRefusal, LedgerUsage, TicketRefusal},
};

use crate::ticket_fixture::{
    LIFETIME, answer, at, booking, claim, issue, ledger, run, signer, try_issue, workspace,
};

fn target_refusal() -> TargetRefusal {
    assert_matches!(AnswerClass::of_status(429), AnswerClass::Refused(refusal) => refusal)
}

#[test]
fn repeated_call_gets_the_same_answer_until_expiry() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(10));
    assert!(ledger.finish(first, answer("booked")).kept);
    for millis in [20, LIFETIME.as_millis() - 1] {
        let decision = claim(&mut ledger, &ticket, at(millis));
        assert_matches!(decision, ClaimDecision::Repeat(kept) if kept == answer("booked"));
    }
    let decision = claim(&mut ledger, &ticket, at(LIFETIME.as_millis()));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Lost));
    assert_eq!(ledger.usage(), LedgerUsage::default());
}

#[test]
fn repeated_call_while_running_waits_for_the_same_answer() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    for waiter in [7, 8] {
        let token = assert_matches!(claim(&mut ledger, &ticket, at(1)), ClaimDecision::Join(token) => token);
        assert_eq!(ledger.join(token, waiter), Ok(()));
    }
    let late =
        assert_matches!(claim(&mut ledger, &ticket, at(2)), ClaimDecision::Join(token) => token);
    assert_eq!(ledger.finish(first, answer("booked")).waiters, [7, 8]);
    assert_eq!(ledger.join(late, 9), Err(9));
}

#[test]
fn another_body_is_refused_and_never_runs() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let _claim = run(&mut ledger, &ticket, at(0));
    let decision = ledger.claim(&ticket, BodyDigest::of(b"other"), at(1));
    let refusal = assert_matches!(decision, ClaimDecision::Refuse(refusal) => refusal);
    assert_eq!(refusal.code(), ErrorCode::TicketReused);
    assert_eq!(refusal.outcome(), AnswerOutcome::NotRun);
}

#[test]
fn ticket_of_another_incarnation_is_unknown() {
    let ticket = issue(&mut ledger(1, 8));
    let decision = claim(&mut ledger(2, 8), &ticket, at(0));
    let refusal = assert_matches!(decision, ClaimDecision::Refuse(refusal) => refusal);
    assert_eq!(refusal.code(), ErrorCode::TicketLost);
    assert_eq!(refusal.outcome(), AnswerOutcome::OutcomeUnknown);
}

#[test]
fn permit_is_refused_after_a_clock_jump() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    let deadline = at(4_000);
    let late = ledger.acquire_permit(&first, &booking(), deadline, at(4_001));
    assert_eq!(late, Err(EffectRefusal::TooLate));
    let permit = ledger
        .acquire_permit(&first, &booking(), deadline, at(4_000))
        .unwrap();
    assert_eq!(permit.spend(at(4_001)), Err(EffectRefusal::TooLate));
}

#[test]
fn permit_is_refused_after_the_ticket_has_expired() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    let expired = at(LIFETIME.as_millis() + 1);
    let permit = ledger.acquire_permit(&first, &booking(), at(u64::MAX), expired);
    assert_eq!(permit, Err(EffectRefusal::TooLate));
}

#[test]
fn each_stage_has_one_permit() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    let deposit = StageName::new("deposit").unwrap();
    let booked = ledger
        .acquire_permit(&first, &booking(), at(9), at(0))
        .unwrap();
    assert_eq!(booked.idempotency_key(), "node-1.1.0.booking");
    let again = ledger.acquire_permit(&first, &booking(), at(9), at(0));
    assert_eq!(again, Err(EffectRefusal::AlreadyIssued));
    assert!(
        ledger
            .acquire_permit(&first, &deposit, at(9), at(0))
            .is_ok()
    );
}

#[test]
fn permit_is_renewed_only_while_the_ticket_runs() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    let permit = ledger
        .acquire_permit(&first, &booking(), at(9), at(0))
        .unwrap();
    let spent = permit.spend(at(1)).unwrap();
    let permit = ledger.renew_permit(spent, target_refusal(), at(2)).unwrap();
    let spent = permit.spend(at(3)).unwrap();
    let _ = ledger.finish(first, answer("refused"));
    let renewed = ledger.renew_permit(spent, target_refusal(), at(4));
    assert_eq!(renewed, Err(EffectRefusal::NotRunning));
}

#[test]
fn late_answer_is_returned_to_a_repeated_call() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    let (_, token) = ledger.give_up(first);
    let decision = claim(&mut ledger, &ticket, at(1));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Unknown));
    assert!(ledger.record_late_answer(token, answer("booked")));
    let decision = claim(&mut ledger, &ticket, at(2));
    assert_matches!(decision, ClaimDecision::Repeat(kept) if kept == answer("booked"));
}

#[test]
fn full_ledger_issues_no_ticket_and_drops_none() {
    let mut ledger = ledger(1, 2);
    let first = issue(&mut ledger);
    let _second = try_issue(&mut ledger, None, at(10)).unwrap();
    let refused = try_issue(&mut ledger, None, at(1_000));
    let retry_after = TimeSpan::from_millis(LIFETIME.as_millis() - 1_000);
    assert_eq!(refused, Err(IssueRefusal::Full { retry_after }));
    assert_matches!(claim(&mut ledger, &first, at(1_001)), ClaimDecision::Run(_));
    assert!(try_issue(&mut ledger, None, at(LIFETIME.as_millis() + 10)).is_ok());
}

#[test]
fn ticket_without_memory_for_its_answer_never_runs() {
    let mut ledger = ledger(1, 8);
    let tickets: Vec<_> = (0..5).map(|_| issue(&mut ledger)).collect();
    let claims: Vec<_> = tickets[..4]
        .iter()
        .map(|ticket| run(&mut ledger, ticket, at(0)))
        .collect();
    let decision = claim(&mut ledger, &tickets[4], at(1));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Declined));
    for first in claims {
        let _ = ledger.finish(first, answer("booked"));
    }
    let decision = claim(&mut ledger, &tickets[4], at(2));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Declined));
}

#[test]
fn oversize_answer_is_returned_once_and_not_kept() {
    let mut ledger = ledger(1, 8);
    let ticket = issue(&mut ledger);
    let first = run(&mut ledger, &ticket, at(0));
    let large = answer(Box::leak("x".repeat(101).into_boxed_str()));
    assert!(!ledger.finish(first, large).kept);
    let decision = claim(&mut ledger, &ticket, at(1));
    assert_matches!(decision, ClaimDecision::Refuse(TicketRefusal::Unknown));
    assert_eq!(ledger.usage().kept_bytes, 0);
}

#[test]
fn ticket_that_expires_while_running_is_removed_when_its_run_ends() {
    let mut ledger = ledger(1, 8);
    let ticket = try_issue(&mut ledger, Some("k"), at(0)).unwrap();
    let first = run(&mut ledger, &ticket, at(0));
    let late = at(LIFETIME.as_millis() + 5);
    let token =
        assert_matches!(claim(&mut ledger, &ticket, late), ClaimDecision::Join(token) => token);
    assert_eq!(ledger.join(token, 3), Ok(()));
    let finished = ledger.finish(first, answer("booked"));
    assert_eq!((finished.waiters, finished.kept), (vec![3], false));
    assert_eq!(ledger.usage(), LedgerUsage::default());
    assert_ne!(try_issue(&mut ledger, Some("k"), late).unwrap(), ticket);
}

#[test]
fn idempotency_key_gives_the_same_ticket_until_expiry() {
    let mut ledger = ledger(1, 8);
    let ticket = try_issue(&mut ledger, Some("order-1"), at(0)).unwrap();
    assert_eq!(
        try_issue(&mut ledger, Some("order-1"), at(9)),
        Ok(ticket.clone())
    );
    assert_ne!(
        try_issue(&mut ledger, Some("order-2"), at(9)),
        Ok(ticket.clone())
    );
    let other = PipelineName::new("survey").unwrap();
    let key = "order-1".parse().unwrap();
    let refused = ledger.issue(&signer(), &other, &workspace(), Some(&key), at(9));
    assert_eq!(refused, Err(IssueRefusal::KeyReused));
    let expired = at(LIFETIME.as_millis());
    assert_ne!(try_issue(&mut ledger, Some("order-1"), expired), Ok(ticket));
}
