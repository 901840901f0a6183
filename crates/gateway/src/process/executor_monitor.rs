use smol::Timer;
use verbenahub_core::clock::TimeSpan;

use super::Shared;

/// Interval at which the monitor asks to be woken.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Delay from which a late wake-up is logged. Callers notice it: it is longer than
/// the latency goal of plain requests.
const LOGGED_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// Measures how late the process's only thread runs a task that is due.
///
/// A task that doesn't yield, a suspension of the process and a lack of processor
/// time all show here, whatever the requests of that moment report.
#[derive(Debug)]
pub struct ExecutorMonitor {
    shared: Shared,
}

impl ExecutorMonitor {
    /// Creates the monitor.
    #[must_use]
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Measures until the future is dropped.
    pub async fn run(self) {
        let shared = &self.shared;
        loop {
            let begun = shared.now();
            Timer::after(PROBE_INTERVAL.into()).await;
            let delay = shared.now().since(begun).saturating_sub(PROBE_INTERVAL);
            let delays = &shared.metrics.executor_delay_seconds;
            delays.observe(delay.as_secs_f64());
            if delay >= LOGGED_DELAY {
                slog::warn!(shared.log, "gateway: Tasks were delayed."; "delay" => %delay,
                    "requests" => shared.work.count());
            }
        }
    }
}
