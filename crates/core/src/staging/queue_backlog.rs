use serde::{Deserialize, Serialize};

use crate::clock::TimeSpan;

/// Backlog of a collector's queue, as expected times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueBacklog {
    /// Expected wait of a new set that can be on time.
    pub on_time: TimeSpan,
    /// Expected wait of a new set that follows all waiting sets, except those
    /// held back.
    pub total: TimeSpan,
    /// Recent average duration of a call; zero before the first call.
    pub call: TimeSpan,
}

impl QueueBacklog {
    /// Backlog that remains after `age`, as the queue keeps working.
    #[must_use]
    pub const fn after(self, age: TimeSpan) -> Self {
        Self {
            on_time: self.on_time.saturating_sub(age),
            total: self.total.saturating_sub(age),
            call: self.call,
        }
    }
}
