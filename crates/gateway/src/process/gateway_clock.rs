use std::cell::Cell;

use rustix::time::{ClockId, Timespec, clock_gettime};
use verbenahub_core::clock::{ClockTime, TimeSpan};

/// Difference between two clocks above which the process did not run for a
/// while. Readings of the two are microseconds apart otherwise.
const PAUSE_LIMIT: TimeSpan = TimeSpan::from_millis(100);

/// The clock of the process. It goes on while the VM is suspended.
#[derive(Debug, Default)]
pub struct GatewayClock {
    /// By how much this clock was ahead of the steady one, which stands still
    /// in a suspended VM.
    lead: Cell<TimeSpan>,
}

impl GatewayClock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        let clock = Self::default();
        clock.lead.set(lead());
        clock
    }

    /// The present reading.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        read(ClockId::Boottime)
    }

    /// For how long the VM was suspended since the last look, if it was.
    #[must_use]
    pub fn take_suspension(&self) -> Option<TimeSpan> {
        let lead = lead();
        let pause = lead.saturating_sub(self.lead.get());
        if pause < PAUSE_LIMIT {
            return None;
        }
        self.lead.set(lead);
        Some(pause)
    }
}

fn lead() -> TimeSpan {
    read(ClockId::Boottime).since(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> ClockTime {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u64::try_from(tv_nsec).unwrap_or_default();
    ClockTime::from_millis(seconds * 1_000 + nanos / 1_000_000)
}
