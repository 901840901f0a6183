use serde::{Deserialize, Serialize};

use crate::{ids::ZoneName, units::ByteSize};

/// Results of stages that lie in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneResults {
    /// The zone.
    pub zone: ZoneName,
    /// Their size together.
    pub size: ByteSize,
}
