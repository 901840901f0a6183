//! Handover of a ledger to one successor at a graceful stop.
//!
//! The stopping process seals its ledger and starts no ticket from then on. It
//! offers the ledger to one process at a time. The next process gets an offer
//! only if no earlier offer can have been adopted: no byte of it was written, or
//! the addressee itself declined it.
//!
//! Delayed copies of an offer are harmless: a process never adopts a ledger that
//! it has declined, and an offer is valid for one incarnation of its addressee.

mod adoption_log;
mod handover_machine;
mod handover_offer;
mod handover_reply;
mod issuer_record;

pub(super) use self::adoption_log::AdoptionLog;
pub use self::{
    handover_machine::{HandoverEvent, HandoverMachine, HandoverStep, HandoverTiming},
    handover_offer::HandoverOffer,
    handover_reply::{DeclineReason, HandoverReply},
    issuer_record::{EntryRecord, IssuerRecord, RecordState},
};
