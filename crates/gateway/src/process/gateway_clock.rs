use std::cell::Cell;

use rustix::time::{ClockId, Timespec, clock_gettime};
use verbenahub_core::clock::{ClockTime, TimeSpan};

/// Shortest growth of the suspended time that counts as a suspension. The two
/// clocks are read one after the other, so without a suspension the difference
/// varies by microseconds.
const MIN_SUSPENSION: TimeSpan = TimeSpan::from_millis(100);

/// The clock of the process. It keeps running while the VM is suspended.
#[derive(Debug, Default)]
pub struct GatewayClock {
    /// Total suspended time of the VM since its boot, as last read: the
    /// difference between the boot-time clock and the monotonic clock, which
    /// stops while the VM is suspended.
    suspended: Cell<TimeSpan>,
}

impl GatewayClock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        let clock = Self::default();
        clock.suspended.set(total_suspended());
        clock
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        read(ClockId::Boottime)
    }

    /// How long the VM was suspended since the last call that returned a
    /// suspension, or since the start. `None` if it was not suspended.
    #[must_use]
    pub fn take_suspension(&self) -> Option<TimeSpan> {
        let suspended = total_suspended();
        let suspension = suspended.saturating_sub(self.suspended.get());
        if suspension < MIN_SUSPENSION {
            return None;
        }
        self.suspended.set(suspended);
        Some(suspension)
    }
}

fn total_suspended() -> TimeSpan {
    read(ClockId::Boottime).since(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> ClockTime {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u64::try_from(tv_nsec).unwrap_or_default();
    ClockTime::from_millis(seconds * 1_000 + nanos / 1_000_000)
}
