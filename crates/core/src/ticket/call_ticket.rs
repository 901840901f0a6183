use std::net::SocketAddr;

use super::{IncarnationKey, SequenceNumber, TicketKey};
use crate::ids::{PipelineName, WorkspaceId};

/// A ticket with a valid signature. Only [`super::TicketSigner`] creates one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTicket {
    pub(super) key: TicketKey,
    pub(super) address: SocketAddr,
    pub(super) pipeline: PipelineName,
    pub(super) workspace: WorkspaceId,
    pub(super) text: String,
}

impl CallTicket {
    /// Identifies the ticket among the tickets of all nodes.
    #[must_use]
    pub const fn key(&self) -> &TicketKey {
        &self.key
    }

    /// The incarnation of the node that issued the ticket.
    #[must_use]
    pub const fn issuer(&self) -> &IncarnationKey {
        &self.key.issuer
    }

    /// Sequence number of the ticket among the issuer's tickets.
    #[must_use]
    pub const fn sequence(&self) -> SequenceNumber {
        self.key.sequence
    }

    /// The internal address of the issuer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The pipeline that the ticket runs.
    #[must_use]
    pub const fn pipeline(&self) -> &PipelineName {
        &self.pipeline
    }

    /// The workspace that may use the ticket.
    #[must_use]
    pub const fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }

    /// The text form of the ticket, usable in a URL path without escaping.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }
}
