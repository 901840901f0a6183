//! Small ledgers and answers for tests of single ledger decisions.

use assert_matches::assert_matches;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{IncarnationNumber, NodeId, PipelineName, StageName, WorkspaceId},
    protocol::AnswerOutcome,
    ticket::{
        BodyDigest, CallTicket, ClaimDecision, IncarnationKey, IssueRefusal, KeptAnswer, RunClaim,
        TicketHolder, TicketLedger, TicketLimits, TicketSigner,
    },
    units::ByteSize,
};

pub const LIFETIME: TimeSpan = TimeSpan::from_secs(60);

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn holder(node: u16) -> TicketHolder {
    TicketHolder {
        incarnation: IncarnationKey {
            node: NodeId::new(&format!("node-{node}")).unwrap(),
            incarnation: IncarnationNumber::new(u64::from(node)),
        },
        address: ([127, 0, 0, 1], 4_000 + node).into(),
    }
}

pub fn ledger(node: u16, entries: usize) -> TicketLedger<u32> {
    let limits = TicketLimits {
        lifetime: LIFETIME,
        entries,
        kept_bytes: ByteSize::from_bytes(400),
        answer_bytes: ByteSize::from_bytes(100),
    };
    TicketLedger::new(holder(node), limits)
}

pub fn signer() -> TicketSigner {
    TicketSigner::new(b"secret")
}

pub fn workspace() -> WorkspaceId {
    WorkspaceId::new("inn").unwrap()
}

pub fn booking() -> StageName {
    StageName::new("booking").unwrap()
}

pub fn try_issue(
    ledger: &mut TicketLedger<u32>,
    key: Option<&str>,
    now: ClockTime,
) -> Result<CallTicket, IssueRefusal> {
    let key = key.map(|key| key.parse().unwrap());
    let pipeline = PipelineName::new("visit").unwrap();
    ledger.issue(&signer(), &pipeline, &workspace(), key.as_ref(), now)
}

pub fn issue(ledger: &mut TicketLedger<u32>) -> CallTicket {
    try_issue(ledger, None, at(0)).unwrap()
}

pub fn claim(ledger: &mut TicketLedger<u32>, ticket: &CallTicket, now: ClockTime) -> ClaimDecision {
    ledger.claim(ticket, BodyDigest::of(b"body"), now)
}

pub fn run(ledger: &mut TicketLedger<u32>, ticket: &CallTicket, now: ClockTime) -> RunClaim {
    assert_matches!(claim(ledger, ticket, now), ClaimDecision::Run(claim) => claim)
}

pub fn answer(body: &'static str) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        media_type: "text/plain".to_owned(),
        outcome: AnswerOutcome::Done,
        body: body.into(),
    }
}
