use serde::{Deserialize, Serialize};

use crate::clock::TimeSpan;

/// What the scheduler has learned about how long an engine takes to read prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnginePace {
    /// Time that the engine takes now, in percent of the mean of its service.
    pub percent: u32,
    /// The same without passing slow-downs.
    pub lasting_percent: u32,
    /// Time since the last sample. `None` if there is none.
    pub age: Option<TimeSpan>,
}
