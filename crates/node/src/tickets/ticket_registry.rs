use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use verbenahub_core::{
    clock::ClockTime,
    ids::{PipelineName, WorkspaceId},
    protocol::AnswerOutcome,
    settings::ClusterSecret,
    ticket::{
        BodyDigest, CallTicket, ClaimDecision, FinishedRun, IdempotencyKey, IncarnationKey,
        IssueRefusal, KeptAnswer, LedgerSeal, LedgerUsage, RunClaim, TicketError, TicketHolder,
        TicketLedger, TicketLimits, TicketSigner,
        handover::{HandoverOffer, HandoverReply},
    },
};

use super::{TicketAction, TicketUpdate, TicketWaiter};
use crate::request::EffectPermitSource;

/// The tickets of this process: a shared ledger, locked only for the duration of
/// one operation, and the signer of its tickets.
pub struct TicketRegistry {
    ledger: Arc<Mutex<TicketLedger<TicketWaiter>>>,
    signer: TicketSigner,
    holder: TicketHolder,
    peer_calls: Arc<AtomicUsize>,
}

impl TicketRegistry {
    /// Creates the registry of a process, with an empty ledger.
    #[must_use]
    pub fn new(holder: TicketHolder, limits: TicketLimits, secret: &ClusterSecret) -> Self {
        let ledger = TicketLedger::new(holder.clone(), limits);
        Self {
            ledger: Arc::new(Mutex::new(ledger)),
            signer: TicketSigner::new(secret.expose().as_bytes()),
            holder,
            peer_calls: Arc::default(),
        }
    }

    /// This process, and the address at which other nodes reach it.
    #[must_use]
    pub const fn holder(&self) -> &TicketHolder {
        &self.holder
    }

    /// Number of tickets in the ledger and memory used by their answers.
    #[must_use]
    pub fn usage(&self) -> LedgerUsage {
        self.lock().usage()
    }

    /// Counts a call from another node until the returned guard is dropped.
    #[must_use]
    pub fn begin_call(&self) -> OpenCall {
        self.peer_calls.fetch_add(1, Ordering::Relaxed);
        OpenCall(Arc::clone(&self.peer_calls))
    }

    /// Number of calls from other nodes that have not been answered.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.peer_calls.load(Ordering::Relaxed)
    }

    /// Decodes and verifies a ticket that a caller presents.
    ///
    /// # Errors
    ///
    /// Fails when `text` is not a valid ticket of this cluster.
    pub fn verify(&self, text: &str) -> Result<CallTicket, TicketError> {
        self.signer.verify(text)
    }

    /// Issues a ticket for one request to a pipeline.
    ///
    /// # Errors
    ///
    /// Fails when the ledger is full or sealed, or the idempotency key was
    /// used for another pipeline.
    pub fn issue(
        &self,
        pipeline: &PipelineName,
        workspace: &WorkspaceId,
        key: Option<&IdempotencyKey>,
        now: ClockTime,
    ) -> Result<CallTicket, IssueRefusal> {
        self.lock()
            .issue(&self.signer, pipeline, workspace, key, now)
    }

    /// Decides how to proceed with a call that presents a ticket. A call that has
    /// to wait is registered as a waiter.
    pub fn claim(&self, ticket: &CallTicket, digest: BodyDigest, now: ClockTime) -> TicketAction {
        let mut ledger = self.lock();
        match ledger.claim(ticket, digest, now) {
            ClaimDecision::Run(claim) => TicketAction::Run(claim),
            ClaimDecision::Join(token) => {
                let (sender, updates) = async_channel::bounded(1);
                // Cannot fail: the lock is held since the decision, so the run
                // or the handover to wait for has not ended.
                let _ = ledger.join(token, sender);
                TicketAction::Wait(updates)
            }
            ClaimDecision::Repeat(answer) => TicketAction::Repeat(answer),
            ClaimDecision::Moved(holder) => TicketAction::Moved(holder),
            ClaimDecision::Refuse(refusal) => TicketAction::Refuse(refusal),
        }
    }

    /// Creates the gate that permits the non-idempotent calls of a run.
    #[must_use]
    pub fn gate(&self, claim: RunClaim) -> EffectPermitSource {
        EffectPermitSource::new(Arc::clone(&self.ledger), claim)
    }

    /// Ends a run. The answer goes to all waiting calls. It is kept for repeated
    /// calls unless the outcome is unknown.
    pub fn finish(&self, claim: RunClaim, answer: &KeptAnswer) {
        let FinishedRun { waiters, .. } = if answer.outcome == AnswerOutcome::OutcomeUnknown {
            self.lock().give_up(claim).0
        } else {
            self.lock().finish(claim, answer.clone())
        };
        for waiter in waiters {
            // Fails if the call has stopped waiting and dropped its receiver.
            let _ = waiter.try_send(TicketUpdate::Answer(answer.clone()));
        }
    }

    /// Seals the ledger permanently. Returns the seal on the first call only.
    #[must_use]
    pub fn seal(&self) -> Option<LedgerSeal> {
        self.lock().seal()
    }

    /// Builds the offer of the sealed ledger to a possible successor.
    #[must_use]
    pub fn offer(&self, seal: &LedgerSeal, to: IncarnationKey, now: ClockTime) -> HandoverOffer {
        self.lock().offer(seal, to, now)
    }

    /// Adopts or declines the ledger of a node that is shutting down.
    #[must_use]
    pub fn adopt(&self, offer: &HandoverOffer, now: ClockTime) -> HandoverReply {
        self.lock().adopt(offer, now)
    }

    /// Ends the handover and wakes the calls that waited for it, so that they claim
    /// their tickets again.
    pub fn release(&self, seal: LedgerSeal, successor: Option<TicketHolder>) {
        let waiters = self.lock().release(seal, successor);
        for waiter in waiters {
            let _ = waiter.try_send(TicketUpdate::ClaimAgain);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TicketLedger<TicketWaiter>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts a call from another node until it is dropped.
#[derive(Debug)]
pub struct OpenCall(Arc<AtomicUsize>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl fmt::Debug for TicketRegistry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("TicketRegistry");
        text.field("holder", &self.holder).finish_non_exhaustive()
    }
}
