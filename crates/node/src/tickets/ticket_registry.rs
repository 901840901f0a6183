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

/// The ledger of tickets of this process, behind a lock that is held for
/// single decisions only.
pub struct TicketRegistry {
    ledger: Arc<Mutex<TicketLedger<TicketWaiter>>>,
    signer: TicketSigner,
    holder: TicketHolder,
    calls: Arc<AtomicUsize>,
}

impl TicketRegistry {
    /// Opens the desk of a process.
    #[must_use]
    pub fn new(holder: TicketHolder, limits: TicketLimits, secret: &ClusterSecret) -> Self {
        let ledger = TicketLedger::new(holder.clone(), limits);
        Self {
            ledger: Arc::new(Mutex::new(ledger)),
            signer: TicketSigner::new(secret.expose().as_bytes()),
            holder,
            calls: Arc::default(),
        }
    }

    /// This process, and where other nodes reach it.
    #[must_use]
    pub const fn holder(&self) -> &TicketHolder {
        &self.holder
    }

    /// What the ledger holds.
    #[must_use]
    pub fn usage(&self) -> LedgerUsage {
        self.lock().usage()
    }

    /// Counts a call of another node until the guard is dropped.
    #[must_use]
    pub fn begin_call(&self) -> OpenCall {
        self.calls.fetch_add(1, Ordering::Relaxed);
        OpenCall(Arc::clone(&self.calls))
    }

    /// Calls of other nodes that are not answered yet.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads a ticket that a caller presents.
    ///
    /// # Errors
    ///
    /// Fails when it is no ticket of this cluster.
    pub fn verify(&self, text: &str) -> Result<CallTicket, TicketError> {
        self.signer.verify(text)
    }

    /// Issues a ticket.
    ///
    /// # Errors
    ///
    /// Fails when the ledger is full or sealed, or the key is in use.
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

    /// Decides on a call with a ticket. A call that is to wait is registered.
    pub fn claim(&self, ticket: &CallTicket, digest: BodyDigest, now: ClockTime) -> TicketAction {
        let mut ledger = self.lock();
        match ledger.claim(ticket, digest, now) {
            ClaimDecision::Run(claim) => TicketAction::Run(claim),
            ClaimDecision::Join(pass) => {
                let (sender, news) = async_channel::bounded(1);
                // The lock is held since the decision, so there is something
                // to wait for.
                let _ = ledger.join(pass, sender);
                TicketAction::Wait(news)
            }
            ClaimDecision::Repeat(answer) => TicketAction::Repeat(answer),
            ClaimDecision::Moved(holder) => TicketAction::Moved(holder),
            ClaimDecision::Refuse(refusal) => TicketAction::Refuse(refusal),
        }
    }

    /// The gate through which a run sends its non-idempotent calls.
    #[must_use]
    pub fn gate(&self, claim: RunClaim) -> EffectPermitSource {
        EffectPermitSource::new(Arc::clone(&self.ledger), claim)
    }

    /// Ends a run. The answer goes to all that wait, and to repeats unless the
    /// outcome is unknown.
    pub fn finish(&self, claim: RunClaim, answer: &KeptAnswer) {
        let FinishedRun { waiters, .. } = if answer.outcome == AnswerOutcome::OutcomeUnknown {
            self.lock().give_up(claim).0
        } else {
            self.lock().finish(claim, answer.clone())
        };
        for waiter in waiters {
            // A call that waits no longer has dropped its end.
            let _ = waiter.try_send(TicketUpdate::Answer(answer.clone()));
        }
    }

    /// Closes the ledger for good. Returns the seal the first time.
    #[must_use]
    pub fn seal(&self) -> Option<LedgerSeal> {
        self.lock().seal()
    }

    /// Writes the sealed ledger for a possible successor.
    #[must_use]
    pub fn offer(&self, seal: &LedgerSeal, to: IncarnationKey, now: ClockTime) -> HandoverOffer {
        self.lock().offer(seal, to, now)
    }

    /// Decides on the ledger of a node that stops.
    #[must_use]
    pub fn adopt(&self, offer: &HandoverOffer, now: ClockTime) -> HandoverReply {
        self.lock().adopt(offer, now)
    }

    /// Ends the handover and wakes the calls that waited for it.
    pub fn release(&self, seal: LedgerSeal, successor: Option<TicketHolder>) {
        let parked = self.lock().release(seal, successor);
        for waiter in parked {
            let _ = waiter.try_send(TicketUpdate::ClaimAgain);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TicketLedger<TicketWaiter>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call of another node that is not answered yet.
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
