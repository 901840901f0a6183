use serde::{Deserialize, Serialize};

/// Reply to the offer of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverReply {
    /// The process has adopted the tickets, from this or an earlier copy of the
    /// offer.
    Adopted,
    /// The process does not adopt the tickets.
    Declined(DeclineReason),
}

/// Why a process does not adopt a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// The offer is addressed to another incarnation. That incarnation may still
    /// have adopted an earlier copy.
    NotAddressee,
    /// The process has sealed its own ledger. It declines all later copies too.
    Sealed,
    /// The process has no room for the tickets. It declines all later copies too.
    Full,
}
