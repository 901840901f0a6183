use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ticket::{BodyDigest, IncarnationKey, KeptAnswer, SequenceNumber},
};

/// The tickets of one incarnation, in the form used for a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuerRecord {
    /// The incarnation that issued the tickets.
    pub issuer: IncarnationKey,
    /// The tickets that have not expired.
    pub entries: Vec<EntryRecord>,
}

impl IssuerRecord {
    /// Total size of the answers, in bytes.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        let sizes = self.entries.iter().map(|entry| match &entry.state {
            RecordState::Answered(answer) => answer.size(),
            _ => 0,
        });
        sizes.sum()
    }
}

/// One ticket, in the form used for a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Sequence number of the ticket among the issuer's tickets.
    pub sequence: SequenceNumber,
    /// Time until the ticket expires.
    pub remaining: TimeSpan,
    /// Digest of the body with which the ticket was used, if it was used.
    pub digest: Option<BodyDigest>,
    /// State of the ticket.
    pub state: RecordState,
}

/// State of a ticket that is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The ticket was not used. The successor may run it.
    Unused,
    /// The ticket may have run, and its answer is not known.
    Unknown,
    /// The run of the ticket ended with this answer.
    Answered(KeptAnswer),
    /// The ticket was refused before it ran, and never runs.
    Declined,
}
