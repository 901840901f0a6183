use std::mem;

use super::{
    BodyDigest, CallTicket, ClaimDecision, EffectPermit, EffectRefusal, FinishedRun,
    IdempotencyKey, IncarnationKey, IssueRefusal, JoinPass, KeptAnswer, LatePass, LedgerSeal,
    LedgerUsage, RunClaim, SequenceNumber, SpentPermit, TicketHolder, TicketKey, TicketLimits,
    TicketRefusal, TicketSigner,
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

/// The tickets that this process alone may run, and what became of them.
///
/// `W` is how a waiting call is told of the answer, such as the sending end of
/// a channel. The ledger never blocks and does no input or output; callers
/// keep it behind a lock that they hold for single calls.
#[derive(Debug)]
pub struct TicketLedger<W> {
    holder: TicketHolder,
    limits: TicketLimits,
    store: LedgerStore<W>,
    phase: LedgerPhase<W>,
    offers: AdoptionLog,
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
            offers: AdoptionLog::default(),
        }
    }

    /// The process that the ledger belongs to.
    #[must_use]
    pub const fn holder(&self) -> &TicketHolder {
        &self.holder
    }

    /// What the ledger holds.
    #[must_use]
    pub fn usage(&self) -> LedgerUsage {
        LedgerUsage {
            tickets: self.store.len(),
            running: self.store.memory.running(),
            kept_bytes: self.store.memory.kept(),
        }
    }

    /// Issues a ticket, or gives the ticket of the same idempotency key again.
    ///
    /// # Errors
    ///
    /// Fails without effect when the ledger is full or sealed, or when the key
    /// was used for another pipeline.
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
        let digest = key.map(|key| KeyDigest::of(workspace, key));
        if let Some(keyed) = digest.and_then(|digest| self.store.keyed(&digest)) {
            if keyed.pipeline != *pipeline {
                return Err(IssueRefusal::KeyReused);
            }
            return Ok(signer.sign(&self.holder, keyed.sequence, pipeline, workspace));
        }
        let sequence = self.add_ticket(digest, pipeline, now)?;
        Ok(signer.sign(&self.holder, sequence, pipeline, workspace))
    }

    /// Decides what to do with a call that presents a ticket.
    ///
    /// The caller has checked that the ticket's workspace made the call.
    pub fn claim(
        &mut self,
        ticket: &CallTicket,
        digest: BodyDigest,
        now: ClockTime,
    ) -> ClaimDecision {
        self.sweep(now);
        let Some(book) = self.store.book_mut(ticket.issuer()) else {
            return ClaimDecision::Refuse(TicketRefusal::NotOwner);
        };
        let Some(entry) = book.entry_mut(ticket.sequence()) else {
            return ClaimDecision::Refuse(TicketRefusal::Lost);
        };
        let key = ticket.key().clone();
        match entry.decide_used(&key, digest) {
            Some(decision) => decision,
            None => self.claim_unused(key, digest),
        }
    }

    /// Registers a call that waits for a running ticket or for the end of a
    /// handover. In the latter case it is to claim again.
    ///
    /// # Errors
    ///
    /// Gives the waiter back when there is nothing to wait for any more: claim
    /// again.
    pub fn join(&mut self, pass: JoinPass, waiter: W) -> Result<(), W> {
        let JoinPass { key } = pass;
        if let Some(running) = self.store.running_mut(&key) {
            running.waiters.push(waiter);
            return Ok(());
        }
        match &mut self.phase {
            LedgerPhase::Sealed { parked } => {
                parked.push(waiter);
                Ok(())
            }
            LedgerPhase::Open | LedgerPhase::Released { .. } => Err(waiter),
        }
    }

    /// Gives the one permit for a non-idempotent stage of a running ticket.
    ///
    /// # Errors
    ///
    /// Fails when the deadline or the ticket's life has passed, or when the
    /// stage has had its permit.
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
            EntryState::Running(running) => running.permit(&claim.key, stage, not_after, now),
            _ => Err(EffectRefusal::NotRunning),
        }
    }

    /// Gives a new permit for a spent one whose target said that it did not
    /// run the call.
    ///
    /// # Errors
    ///
    /// Fails when the deadline or the ticket's life has passed, or when the
    /// ticket no longer runs.
    pub fn renew_permit(
        &mut self,
        spent: SpentPermit,
        _refusal: TargetRefusal,
        now: ClockTime,
    ) -> Result<EffectPermit, EffectRefusal> {
        match self.store.running_mut(&spent.key) {
            Some(running) => running.renew(spent, now),
            None => Err(EffectRefusal::NotRunning),
        }
    }

    /// Ends a run with its answer, which every repeat gets from now on.
    ///
    /// An answer with outcome `not_run` ends the ticket too: whoever was told
    /// so may start over with a new ticket, so this one must never run.
    pub fn finish(&mut self, claim: RunClaim, answer: KeptAnswer) -> FinishedRun<W> {
        let RunClaim { key } = claim;
        let waiters = self.store.end_run(&key);
        let kept = self.store.keep(&key, answer);
        FinishedRun { waiters, kept }
    }

    /// Gives a run up whose outcome is not known.
    ///
    /// The pass lets an answer that still comes be recorded.
    pub fn give_up(&mut self, claim: RunClaim) -> (FinishedRun<W>, LatePass) {
        let RunClaim { key } = claim;
        let waiters = self.store.end_run(&key);
        let kept = false;
        (FinishedRun { waiters, kept }, LatePass { key })
    }

    /// Records an answer that came after the run was given up. Returns whether
    /// it is kept.
    pub fn settle(&mut self, pass: LatePass, answer: KeptAnswer) -> bool {
        let LatePass { key } = pass;
        self.store.keep(&key, answer)
    }

    /// Stops issuing and starting tickets for good. Those that run go on.
    /// Returns the seal the first time.
    pub fn seal(&mut self) -> Option<LedgerSeal> {
        if !matches!(self.phase, LedgerPhase::Open) {
            return None;
        }
        self.phase = LedgerPhase::Sealed { parked: Vec::new() };
        let holder = self.holder.incarnation.clone();
        Some(LedgerSeal { holder })
    }

    /// Writes the sealed ledger for one possible successor.
    #[must_use]
    pub fn offer(&self, _seal: &LedgerSeal, to: IncarnationKey, now: ClockTime) -> HandoverOffer {
        HandoverOffer {
            from: self.holder.incarnation.clone(),
            to,
            books: self.store.to_records(now),
        }
    }

    /// Ends the handover. Returns the parked calls, which are to claim again.
    pub fn release(&mut self, seal: LedgerSeal, successor: Option<TicketHolder>) -> Vec<W> {
        let LedgerSeal { holder } = seal;
        debug_assert_eq!(holder, self.holder.incarnation);
        let released = LedgerPhase::Released { successor };
        match mem::replace(&mut self.phase, released) {
            LedgerPhase::Sealed { parked } => parked,
            LedgerPhase::Open | LedgerPhase::Released { .. } => Vec::new(),
        }
    }

    /// Decides on the offer of another process's ledger. Every copy of an
    /// offer gets the same reply.
    pub fn adopt(&mut self, offer: &HandoverOffer, now: ClockTime) -> HandoverReply {
        if offer.to != self.holder.incarnation {
            return HandoverReply::Declined(DeclineReason::NotAddressee);
        }
        if let Some(reply) = self.offers.earlier_reply(&offer.from) {
            return reply;
        }
        self.sweep(now);
        let reply = self.decide_offer(offer, now);
        self.offers.record(offer.from.clone(), reply);
        reply
    }

    /// Removes what has expired. Issues and claims do so as well.
    pub fn sweep(&mut self, now: ClockTime) {
        self.store.sweep(now);
    }

    fn add_ticket(
        &mut self,
        digest: Option<KeyDigest>,
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
            .issue(&self.holder.incarnation, expires, digest, pipeline)
            .ok_or(IssueRefusal::Sealed)
    }

    fn claim_unused(&mut self, key: TicketKey, digest: BodyDigest) -> ClaimDecision {
        match &self.phase {
            LedgerPhase::Open => self.store.start_run(key, digest),
            LedgerPhase::Sealed { .. } => ClaimDecision::Join(JoinPass { key }),
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
