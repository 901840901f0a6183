//! Handover of a ledger to one successor at a graceful stop.
//!
//! The stopping process seals its ledger, after which it starts no ticket. It
//! offers the ledger to one process at a time. An offer is made to another
//! process only if no earlier one can have been taken: no byte of it was
//! written, or the addressee itself said that it declines. A process never
//! takes a ledger that it declined before, and an offer names the run of the
//! process that it is meant for, so that a copy which arrives late does no harm.

mod adoption_log;
mod book_record;
mod handover_machine;
mod handover_offer;
mod handover_reply;

pub(super) use self::adoption_log::AdoptionLog;
pub use self::{
    book_record::{BookRecord, EntryRecord, RecordState},
    handover_machine::{HandoverEvent, HandoverMachine, HandoverStep, HandoverTiming},
    handover_offer::HandoverOffer,
    handover_reply::{DeclineReason, HandoverReply},
};
