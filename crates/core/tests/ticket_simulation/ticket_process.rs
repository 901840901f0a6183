use std::net::SocketAddr;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{IncarnationNumber, NodeId, StageName},
    protocol::AnswerOutcome,
    request::AnswerClass,
    ticket::{
        EffectPermit, IncarnationKey, KeptAnswer, LateAnswerToken, LedgerSeal, RunClaim,
        SpentPermit, TicketHolder, TicketKey, TicketLedger, TicketLimits,
        handover::{HandoverEvent, HandoverMachine, HandoverOffer, HandoverStep},
    },
    units::ByteSize,
};

use super::OutcomeChecker;

const FIRST_PORT: u16 = 4_000;
const DEADLINE: TimeSpan = TimeSpan::from_millis(600);

/// One incarnation of a node.
pub struct TicketProcess {
    pub holder: TicketHolder,
    pub ledger: TicketLedger<u8>,
    pub now: ClockTime,
    runs: Vec<TicketRun>,
    seal: Option<LedgerSeal>,
    machine: Option<(HandoverMachine, HandoverStep)>,
    killed: bool,
}

/// A running ticket and the state of its task.
struct TicketRun {
    key: TicketKey,
    body: u8,
    deadline: ClockTime,
    claim: Option<RunClaim>,
    permit: Option<EffectPermit>,
    spent: Option<SpentPermit>,
    late_token: Option<LateAnswerToken>,
}

impl TicketProcess {
    pub fn new(slot: usize, incarnation: u64) -> Self {
        let holder = TicketHolder {
            incarnation: IncarnationKey {
                node: NodeId::new(&format!("node-{slot}")).unwrap(),
                incarnation: IncarnationNumber::new(incarnation),
            },
            address: Self::address_of(slot),
        };
        let limits = TicketLimits {
            lifetime: TimeSpan::from_secs(1),
            entries: 4,
            kept_bytes: ByteSize::from_bytes(100),
            answer_bytes: ByteSize::from_bytes(40),
        };
        Self {
            ledger: TicketLedger::new(holder.clone(), limits),
            holder,
            now: ClockTime::from_millis(incarnation * 7),
            runs: Vec::new(),
            seal: None,
            machine: None,
            killed: false,
        }
    }

    pub fn address_of(slot: usize) -> SocketAddr {
        let port = FIRST_PORT + u16::try_from(slot).unwrap();
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    pub fn slot_at(address: SocketAddr) -> usize {
        usize::from(address.port() - FIRST_PORT)
    }

    pub fn kill(&mut self) {
        self.killed = true;
        self.runs.clear();
        self.machine = None;
    }

    pub fn start_run(&mut self, claim: RunClaim, body: u8) {
        self.runs.push(TicketRun {
            key: claim.key().clone(),
            body,
            deadline: self.now + DEADLINE,
            claim: Some(claim),
            permit: None,
            spent: None,
            late_token: None,
        });
    }

    /// Executes the next step of the task of one run.
    pub fn advance_run(&mut self, run: usize, choice: u8, checker: &mut OutcomeChecker) {
        if self.runs.is_empty() {
            return;
        }
        let index = run % self.runs.len();
        let mut run = self.runs.swap_remove(index);
        let ended = self.advance(&mut run, choice, checker);
        if !ended {
            self.runs.push(run);
        }
    }

    fn advance(&mut self, run: &mut TicketRun, choice: u8, checker: &mut OutcomeChecker) -> bool {
        if let Some(token) = run.late_token.take() {
            let answer = answer_of(run, AnswerOutcome::Done);
            if self.ledger.record_late_answer(token, answer.clone()) {
                checker.answer(&run.key, run.body, answer);
                checker.stats.late_answers += 1;
            }
            return true;
        }
        let Some(claim) = run.claim.take() else {
            return true;
        };
        if let Some(permit) = run.permit.take() {
            return self.spend_permit(run, claim, permit, checker);
        }
        if let Some(spent) = run.spent.take() {
            return self.end_effect(run, claim, spent, choice, checker);
        }
        self.request_permit(run, claim, choice, checker)
    }

    fn request_permit(
        &mut self,
        run: &mut TicketRun,
        claim: RunClaim,
        choice: u8,
        checker: &mut OutcomeChecker,
    ) -> bool {
        let stage = StageName::new("booking").unwrap();
        let permit = self
            .ledger
            .acquire_permit(&claim, &stage, run.deadline, self.now);
        // The ledger must refuse a second permit for the stage. If it does not, the
        // permit is spent as well, so that the checker finds two effects.
        let second_permit = self
            .ledger
            .acquire_permit(&claim, &stage, run.deadline, self.now);
        match permit {
            Ok(permit) if !choice.is_multiple_of(8) => {
                run.permit = Some(permit);
                run.claim = Some(claim);
                if let Ok(second) = second_permit {
                    run.spent = second.spend(self.now).ok();
                    checker.effect(&run.key, run.body);
                }
                false
            }
            _ => self.finish(run, claim, AnswerOutcome::NotRun, checker),
        }
    }

    fn spend_permit(
        &mut self,
        run: &mut TicketRun,
        claim: RunClaim,
        permit: EffectPermit,
        checker: &mut OutcomeChecker,
    ) -> bool {
        match permit.spend(self.now) {
            Ok(spent) => {
                assert!(
                    self.now <= run.deadline,
                    "ticket {} ran after its deadline",
                    run.key
                );
                checker.effect(&run.key, run.body);
                run.spent = Some(spent);
                run.claim = Some(claim);
                false
            }
            Err(_) => self.finish(run, claim, AnswerOutcome::NotRun, checker),
        }
    }

    fn end_effect(
        &mut self,
        run: &mut TicketRun,
        claim: RunClaim,
        spent: SpentPermit,
        choice: u8,
        checker: &mut OutcomeChecker,
    ) -> bool {
        match (choice % 4, AnswerClass::of_status(503)) {
            (0, AnswerClass::Refused(refusal)) => {
                checker.withdraw_effect(&run.key);
                match self.ledger.renew_permit(spent, refusal, self.now) {
                    Ok(permit) => {
                        run.permit = Some(permit);
                        run.claim = Some(claim);
                        false
                    }
                    Err(_) => self.finish(run, claim, AnswerOutcome::NotRun, checker),
                }
            }
            (1, _) => {
                let (_, late_token) = self.ledger.give_up(claim);
                run.late_token = Some(late_token);
                false
            }
            _ => self.finish(run, claim, AnswerOutcome::Done, checker),
        }
    }

    fn finish(
        &mut self,
        run: &TicketRun,
        claim: RunClaim,
        outcome: AnswerOutcome,
        checker: &mut OutcomeChecker,
    ) -> bool {
        let answer = answer_of(run, outcome);
        if self.ledger.finish(claim, answer.clone()).kept {
            checker.answer(&run.key, run.body, answer);
        }
        true
    }

    pub fn seal(&mut self, machine: HandoverMachine) {
        if self.killed {
            return;
        }
        if let Some(seal) = self.ledger.seal() {
            let step = machine.begin();
            self.seal = Some(seal);
            self.machine = Some((machine, step));
        }
    }

    /// The next offer, if a handover is in progress.
    pub fn next_offer(&self) -> Option<(TicketHolder, HandoverOffer)> {
        let (_, HandoverStep::Offer { to, .. }) = self.machine.as_ref()? else {
            return None;
        };
        let seal = self.seal.as_ref()?;
        let message = self.ledger.offer(seal, to.incarnation.clone(), self.now);
        Some((to.clone(), message))
    }

    pub fn end_offer(&mut self, event: HandoverEvent, checker: &mut OutcomeChecker) {
        let Some((machine, step)) = &mut self.machine else {
            return;
        };
        *step = machine.handle(event, self.now);
        let successor = match step {
            HandoverStep::Offer { .. } => return,
            HandoverStep::Done(holder) => Some(holder.clone()),
            HandoverStep::Lost => None,
        };
        checker.stats.handovers += u32::from(successor.is_some());
        if let Some(seal) = self.seal.take() {
            let _ = self.ledger.release(seal, successor);
        }
    }
}

fn answer_of(run: &TicketRun, outcome: AnswerOutcome) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        media_type: "text/plain".to_owned(),
        outcome,
        body: format!("{} {outcome}", run.key).into_bytes().into(),
    }
}
