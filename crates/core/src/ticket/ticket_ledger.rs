use std::mem;

use super::{
    BodyDigest, CallTicket, ClaimDecision, EffectPermit, EffectRefusal, FinishedRun,
    IdempotencyKey, IncarnationKey, IssueRefusal, JoinToken, KeptAnswer, LateAnswerToken,
    LedgerSeal, LedgerUsage, RunClaim, SequenceNumber, SpentPermit, TicketHolder, TicketKey,
    TicketLimits, TicketRefusal, TicketSigner,
    handover::{AdoptionLog, DeclineReason, HandoverOffer, HandoverReply},
    idempotency_index::KeyDigest,
    ledger_entry::EntryState,
    ledger_phase::LedgerPhase,
    ledger_store::LedgerStore,
};
use crate::{
    clock::ClockTime,
    ids::{PipelineName, StageName, WorkspaceId},
    request::TargetRefusal,
};

/// The tickets that only this process may run, and their states.
///
/// `W` is a handle for notifying a waiting call, such as the sender of a
/// channel. The ledger never blocks and does no I/O; callers keep it behind a
/// lock that they hold for single method calls.
#[derive(Debug)]
pub struct TicketLedger<W> {
    holder: TicketHolder,
    limits: TicketLimits,
    store: LedgerStore<W>,
    phase: LedgerPhase<W>,
    adoptions: AdoptionLog,
}

impl<W> TicketLedger<W> {
    /// Creates the empty ledger of a new process.
    #[must_use]
    pub fn new(holder: TicketHolder, limits: TicketLimits) -> Self {
        let store = LedgerStore::new(holder.incarnation.clone(), &limits);
        Self {
            holder,
            limits,
            store,
            phase: LedgerPhase::Open,
            adoptions: AdoptionLog::default(),
        }
    }

    /// The process that the ledger belongs to.
    #[must_use]
    pub const fn holder(&self) -> &TicketHolder {
        &self.holder
    }

    /// Number of tickets and memory use.
    #[must_use]
    pub fn usage(&self) -> LedgerUsage {
        LedgerUsage {
            tickets: self.store.len(),
            running: self.store.memory.reservations(),
            kept_bytes: self.store.memory.kept(),
        }
    }

    /// Issues a ticket, or returns the ticket already issued for the idempotency
    /// key.
    ///
    /// # Errors
    ///
    /// Fails without issuing a ticket when the ledger is full or sealed, or when
    /// the key was used for another pipeline.
    pub fn issue(
        &mut self,
        signer: &TicketSigner,
        pipeline: &PipelineName,
        workspace: &WorkspaceId,
        key: Option<&IdempotencyKey>,
        now: ClockTime,
    ) -> Result<CallTicket, IssueRefusal> {
        self.sweep(now);
        if !matches!(self.phase, LedgerPhase::Open) {
            return Err(IssueRefusal::Sealed);
        }
        let key_digest = key.map(|key| KeyDigest::of(workspace, key));
        if let Some(keyed) = key_digest.and_then(|digest| self.store.ticket_for_key(&digest)) {
            if keyed.pipeline != *pipeline {
                return Err(IssueRefusal::KeyReused);
            }
            return Ok(signer.sign(&self.holder, keyed.sequence, pipeline, workspace));
        }
        let sequence = self.add_ticket(key_digest, pipeline, now)?;
        Ok(signer.sign(&self.holder, sequence, pipeline, workspace))
    }

    /// Decides what to do with a call that presents a ticket.
    ///
    /// The caller must have checked that the call comes from the workspace of the
    /// ticket.
    pub fn claim(
        &mut self,
        ticket: &CallTicket,
        body_digest: BodyDigest,
        now: ClockTime,
    ) -> ClaimDecision {
        self.sweep(now);
        let Some(tickets) = self.store.issuer_mut(ticket.issuer()) else {
            return ClaimDecision::Refuse(TicketRefusal::NotOwner);
        };
        let Some(entry) = tickets.entry_mut(ticket.sequence()) else {
            return ClaimDecision::Refuse(TicketRefusal::Lost);
        };
        let key = ticket.key().clone();
        match entry.decide_used(&key, body_digest) {
            Some(decision) => decision,
            None => self.claim_unused(key, body_digest),
        }
    }

    /// Registers a call that waits for a running ticket or for the end of a
    /// handover. After a handover the call must claim the ticket again.
    ///
    /// # Errors
    ///
    /// Returns the waiter when there is nothing left to wait for. The call must
    /// then claim the ticket again.
    pub fn join(&mut self, token: JoinToken, waiter: W) -> Result<(), W> {
        let JoinToken { key } = token;
        if let Some(running) = self.store.running_mut(&key) {
            running.waiters.push(waiter);
            return Ok(());
        }
        match &mut self.phase {
            LedgerPhase::Sealed { waiters } => {
                waiters.push(waiter);
                Ok(())
            }
            LedgerPhase::Open | LedgerPhase::Released { .. } => Err(waiter),
        }
    }

    /// Issues the only permit for a non-idempotent stage of a running ticket.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed, the ticket has expired or is not
    /// running, or a permit for the stage was already issued.
    pub fn acquire_permit(
        &mut self,
        claim: &RunClaim,
        stage: &StageName,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        let Some(entry) = self.store.entry_mut(&claim.key) else {
            return Err(EffectRefusal::NotRunning);
        };
        let not_after = deadline.min(entry.expires);
        match &mut entry.state {
            EntryState::Running(running) => {
                running.acquire_permit(&claim.key, stage, not_after, now)
            }
            _ => Err(EffectRefusal::NotRunning),
        }
    }

    /// Replaces a spent permit after the target reported that it did not run
    /// the call.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed, or when the ticket has expired or is
    /// no longer running.
    pub fn renew_permit(
        &mut self,
        spent: SpentPermit,
        _refusal: TargetRefusal,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        match self.store.running_mut(&spent.key) {
            Some(running) => running.renew_permit(spent, now),
            None => Err(EffectRefusal::NotRunning),
        }
    }

    /// Ends a run with its answer, which repeated calls get from then on.
    ///
    /// An answer with the outcome `not_run` also ends the ticket: its caller may
    /// start over with a new ticket, so this one must never run.
    pub fn finish(&mut self, claim: RunClaim, answer: KeptAnswer) -> FinishedRun<W> {
        let RunClaim { key } = claim;
        let waiters = self.store.end_run(&key);
        let kept = self.store.keep_answer(&key, answer);
        FinishedRun { waiters, kept }
    }

    /// Ends a run whose outcome is unknown.
    ///
    /// The returned token allows recording an answer that arrives later.
    pub fn give_up(&mut self, claim: RunClaim) -> (FinishedRun<W>, LateAnswerToken) {
        let RunClaim { key } = claim;
        let waiters = self.store.end_run(&key);
        let kept = false;
        (FinishedRun { waiters, kept }, LateAnswerToken { key })
    }

    /// Records an answer that arrived after the run was given up. Returns
    /// whether it is kept.
    pub fn record_late_answer(&mut self, token: LateAnswerToken, answer: KeptAnswer) -> bool {
        let LateAnswerToken { key } = token;
        self.store.keep_answer(&key, answer)
    }

    /// Permanently stops issuing tickets and starting runs; running tickets
    /// continue. Returns the seal on the first call only.
    pub fn seal(&mut self) -> Option<LedgerSeal> {
        if !matches!(self.phase, LedgerPhase::Open) {
            return None;
        }
        self.phase = LedgerPhase::Sealed {
            waiters: Vec::new(),
        };
        let holder = self.holder.incarnation.clone();
        Some(LedgerSeal { holder })
    }

    /// Returns the offer of the sealed ledger to one possible successor.
    #[must_use]
    pub fn offer(&self, _seal: &LedgerSeal, to: IncarnationKey, now: ClockTime) -> HandoverOffer {
        HandoverOffer {
            from: self.holder.incarnation.clone(),
            to,
            books: self.store.to_records(now),
        }
    }

    /// Ends the handover. Returns the calls that waited for it, which must claim
    /// their tickets again.
    pub fn release(&mut self, seal: LedgerSeal, successor: Option<TicketHolder>) -> Vec<W> {
        let LedgerSeal { holder } = seal;
        debug_assert_eq!(holder, self.holder.incarnation);
        let released = LedgerPhase::Released { successor };
        match mem::replace(&mut self.phase, released) {
            LedgerPhase::Sealed { waiters } => waiters,
            LedgerPhase::Open | LedgerPhase::Released { .. } => Vec::new(),
        }
    }

    /// Decides on the offer of another process's ledger and adopts its tickets
    /// if there is room. Every copy of an offer gets the same reply.
    pub fn adopt(&mut self, offer: &HandoverOffer, now: ClockTime) -> HandoverReply {
        if offer.to != self.holder.incarnation {
            return HandoverReply::Declined(DeclineReason::NotAddressee);
        }
        if let Some(reply) = self.adoptions.earlier_reply(&offer.from) {
            return reply;
        }
        self.sweep(now);
        let reply = self.decide_offer(offer, now);
        self.adoptions.record(offer.from.clone(), reply);
        reply
    }

    /// Removes expired tickets. Issuing and claiming do this as well.
    pub fn sweep(&mut self, now: ClockTime) {
        self.store.sweep(now);
    }

    fn add_ticket(
        &mut self,
        key_digest: Option<KeyDigest>,
        pipeline: &PipelineName,
        now: ClockTime,
    ) -> Result<SequenceNumber, IssueRefusal> {
        if self.store.len() >= self.limits.entries {
            let next = self.store.next_expiry();
            let retry_after = next.map_or(self.limits.lifetime, |next| now.until(next));
            return Err(IssueRefusal::Full { retry_after });
        }
        let expires = now + self.limits.lifetime;
        self.store
            .issue(&self.holder.incarnation, expires, key_digest, pipeline)
            .ok_or(IssueRefusal::Sealed)
    }

    fn claim_unused(&mut self, key: TicketKey, body_digest: BodyDigest) -> ClaimDecision {
        match &self.phase {
            LedgerPhase::Open => self.store.start_run(key, body_digest),
            LedgerPhase::Sealed { .. } => ClaimDecision::Join(JoinToken { key }),
            LedgerPhase::Released { successor } => successor.clone().map_or(
                ClaimDecision::Refuse(TicketRefusal::Lost),
                ClaimDecision::Moved,
            ),
        }
    }

    fn decide_offer(&mut self, offer: &HandoverOffer, now: ClockTime) -> HandoverReply {
        if !matches!(self.phase, LedgerPhase::Open) {
            return HandoverReply::Declined(DeclineReason::Sealed);
        }
        if !self.store.adopt(&offer.books, self.limits.entries, now) {
            return HandoverReply::Declined(DeclineReason::Full);
        }
        HandoverReply::Adopted
    }
}
