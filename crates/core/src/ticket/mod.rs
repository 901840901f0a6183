//! Tickets ensure that a request with a non-idempotent stage runs at most once,
//! without state shared between nodes.
//!
//! A ticket names the incarnation of the node that issued it. Only the ledger
//! of that incarnation, or of a successor that has adopted the ticket, may run
//! it, and only once. The ledger keeps the answer until the ticket expires and
//! returns it to repeated calls. A node never runs a ticket that its ledger does
//! not hold.

pub mod forward;
pub mod handover;

mod body_digest;
mod call_ticket;
mod claim_decision;
mod effect_permit;
mod idempotency_index;
mod idempotency_key;
mod incarnation_key;
mod issue_refusal;
mod issuer_tickets;
mod kept_answer;
mod ledger_entry;
mod ledger_phase;
mod ledger_store;
mod ledger_usage;
mod memory_budget;
mod sequence_number;
mod ticket_error;
mod ticket_holder;
mod ticket_key;
mod ticket_ledger;
mod ticket_limits;
mod ticket_refusal;
mod ticket_signer;

pub use self::{
    body_digest::BodyDigest,
    call_ticket::CallTicket,
    claim_decision::{ClaimDecision, FinishedRun, JoinToken, LateAnswerToken, RunClaim},
    effect_permit::{EffectPermit, EffectRefusal, SpentPermit},
    idempotency_key::{IdempotencyKey, IdempotencyKeyError},
    incarnation_key::IncarnationKey,
    issue_refusal::IssueRefusal,
    kept_answer::KeptAnswer,
    ledger_phase::LedgerSeal,
    ledger_usage::LedgerUsage,
    sequence_number::SequenceNumber,
    ticket_error::TicketError,
    ticket_holder::TicketHolder,
    ticket_key::TicketKey,
    ticket_ledger::TicketLedger,
    ticket_limits::TicketLimits,
    ticket_refusal::TicketRefusal,
    ticket_signer::TicketSigner,
};
