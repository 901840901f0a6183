use serde::{Deserialize, Serialize};

use crate::{ids::ZoneName, units::ByteSize};

/// Stage results of a request that are stored in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneResults {
    /// The availability zone.
    pub zone: ZoneName,
    /// Total size of the results.
    pub size: ByteSize,
}
