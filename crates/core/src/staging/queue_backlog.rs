use serde::{Deserialize, Serialize};

use crate::clock::TimeSpan;

/// How much waits at a collector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueBacklog {
    /// Time that a new set which can be on time is expected to wait.
    pub on_time: TimeSpan,
    /// Time until all that waits and isn't held back will be done.
    pub total: TimeSpan,
    /// Time that a call takes of late; none if there was no call.
    pub call: TimeSpan,
}

impl QueueBacklog {
    /// What is left of the backlog after a while.
    #[must_use]
    pub const fn after(self, age: TimeSpan) -> Self {
        Self {
            on_time: self.on_time.saturating_sub(age),
            total: self.total.saturating_sub(age),
            call: self.call,
        }
    }
}
