use std::collections::HashMap;

use super::{DeclineReason, HandoverReply};
use crate::ticket::IncarnationKey;

/// Maximum number of ledgers that a process decides on in its lifetime.
const OFFER_LIMIT: usize = 4_096;

/// The decisions of this process on the ledgers that it was offered, by the
/// process that offered them.
///
/// A decision never changes. Once the log is full, every further ledger is
/// declined, which needs no memory.
#[derive(Debug, Default)]
pub(in crate::ticket) struct AdoptionLog {
    replies: HashMap<IncarnationKey, HandoverReply>,
}

impl AdoptionLog {
    /// The earlier decision on the ledger of `from`, or a decline if the log is
    /// full.
    pub(in crate::ticket) fn earlier_reply(&self, from: &IncarnationKey) -> Option<HandoverReply> {
        let full = HandoverReply::Declined(DeclineReason::Full);
        let is_full = self.replies.len() >= OFFER_LIMIT;
        let fallback = is_full.then_some(full);
        self.replies.get(from).copied().or(fallback)
    }

    pub(in crate::ticket) fn record(&mut self, from: IncarnationKey, reply: HandoverReply) {
        self.replies.insert(from, reply);
    }
}
