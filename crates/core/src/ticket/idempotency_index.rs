use std::collections::HashMap;

use sha2::{Digest, Sha256};

use super::{IdempotencyKey, SequenceNumber};
use crate::ids::{PipelineName, WorkspaceId};

/// SHA-256 of a workspace and its idempotency key, so that index keys have a
/// fixed size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct KeyDigest([u8; 32]);

/// The ticket that was issued for an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct KeyedTicket {
    pub(super) sequence: SequenceNumber,
    pub(super) pipeline: PipelineName,
}

/// Maps idempotency keys to the tickets that this node issued for them.
#[derive(Debug, Default)]
pub(super) struct IdempotencyIndex {
    tickets: HashMap<KeyDigest, KeyedTicket>,
}

impl KeyDigest {
    pub(super) fn of(workspace: &WorkspaceId, key: &IdempotencyKey) -> Self {
        let mut hash = Sha256::new();
        hash.update(workspace.as_str());
        hash.update([0]);
        hash.update(key.as_str());
        Self(hash.finalize().into())
    }
}

impl IdempotencyIndex {
    pub(super) fn get(&self, digest: &KeyDigest) -> Option<&KeyedTicket> {
        self.tickets.get(digest)
    }

    pub(super) fn insert(&mut self, digest: KeyDigest, ticket: KeyedTicket) {
        self.tickets.insert(digest, ticket);
    }

    /// Removes the key of a ticket, if it has one.
    pub(super) fn remove(&mut self, digest: Option<KeyDigest>) {
        if let Some(digest) = digest {
            self.tickets.remove(&digest);
        }
    }
}
