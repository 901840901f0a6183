use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::TargetState;
use crate::ids::{PoolName, StoreRevision, TargetId, ZoneName};

/// What a target has registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identifier, mostly new with each start.
    pub id: TargetId,
    /// Service that it serves.
    pub service: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests or calls that it works on at the same time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: TargetState,
    /// Unix time of its start in milliseconds, if it is known. Tells two runs
    /// under one identifier apart.
    pub started_at: Option<u64>,
    /// The registry's revision of the record.
    pub revision: StoreRevision,
}
