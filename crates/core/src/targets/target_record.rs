use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::TargetState;
use crate::{
    clock::TimeSpan,
    ids::{PoolName, StoreRevision, TargetId, ZoneName},
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
}
