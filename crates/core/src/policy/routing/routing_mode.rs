use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How the target of a call is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingMode {
    /// Targets in turn; a baseline for comparisons.
    RoundRobin,
    /// The target with the fewest in-flight calls of this node; a baseline for
    /// comparisons.
    LeastInFlight,
    /// The target with the lowest predicted time and cost among several samples.
    #[default]
    Adaptive,
}

/// What adaptive routing optimizes for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteObjective {
    /// Responses within the deadline.
    #[default]
    Attainment,
    /// Little engine time per response.
    Cost,
}

/// Error for a text that is not a routing mode.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a routing mode; write `round_robin`, `least_in_flight` or `adaptive`")]
pub struct ModeError(pub String);

impl FromStr for RoutingMode {
    type Err = ModeError;

    fn from_str(text: &str) -> Result<Self, ModeError> {
        match text {
            "round_robin" => Ok(Self::RoundRobin),
            "least_in_flight" => Ok(Self::LeastInFlight),
            "adaptive" => Ok(Self::Adaptive),
            _ => Err(ModeError(text.to_owned())),
        }
    }
}
