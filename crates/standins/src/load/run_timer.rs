use verbenahub_core::clock::ClockTime;

use super::TargetDesk;

/// Measures the time in execution of one call, also of one that is cancelled.
#[derive(Debug)]
pub struct RunTimer<'a> {
    desk: &'a TargetDesk,
    start: ClockTime,
}

impl<'a> RunTimer<'a> {
    /// Counts a call that begins to run.
    #[must_use]
    pub fn start(desk: &'a TargetDesk) -> Self {
        desk.context.stats.add_run();
        desk.note_load();
        let start = desk.context.clock.now();
        Self { desk, start }
    }
}

impl Drop for RunTimer<'_> {
    fn drop(&mut self) {
        let now = self.desk.context.clock.now();
        self.desk.note_run(now.since(self.start).into());
    }
}
