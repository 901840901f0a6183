use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::MemberRank;
use crate::ids::{NodeId, ZoneName};

/// A member's address, availability zone and rank, as exchanged by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identifier of the member.
    pub node: NodeId,
    /// Internal address of the member.
    pub address: SocketAddr,
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Version and condition of the record.
    pub rank: MemberRank,
}
