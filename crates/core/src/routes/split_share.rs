use serde::{Deserialize, Serialize};

use crate::ids::PoolName;

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitShare {
    /// The service.
    pub service: PoolName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}
