use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::TargetState;
use crate::{
    clock::TimeSpan,
    ids::{PoolName, StoreRevision, TargetId, WriteNumber, ZoneName},
};

/// The record with which a target is registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identifier, usually new with each start of the target.
    pub id: TargetId,
    /// Service that the target provides.
    pub service: PoolName,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of requests or calls that the target processes at the same time.
    pub slots: u32,
    /// Whether the target accepts work.
    pub state: TargetState,
    /// Unix time of the target's start in milliseconds, if it is known.
    /// Distinguishes two runs under one identifier.
    pub started_at: Option<u64>,
    /// Revision of the record in the store.
    pub revision: StoreRevision,
    /// Time for which the target stays cold, from when it wrote the record.
    #[serde(default)]
    pub cold_left: TimeSpan,
    /// Number of the write among those of its run, if it is known. Writes may be
    /// carried out late, so a later one in the store may have a lower number.
    #[serde(default)]
    pub write_number: Option<WriteNumber>,
}

impl TargetRecord {
    /// Whether both records describe the same run of a target: one start of its
    /// process, which is known, at one address.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id
            && self.started_at.is_some()
            && self.started_at == other.started_at
            && self.address == other.address
            && self.service == other.service
    }

    /// Whether the target wrote this record before the other one, in the same run,
    /// whatever the revisions at which the store carried them out.
    #[must_use]
    pub fn is_overtaken_by(&self, other: &Self) -> bool {
        self.is_same_run(other)
            && matches!((self.write_number, other.write_number), (Some(own), Some(other)) if own < other)
    }
}
