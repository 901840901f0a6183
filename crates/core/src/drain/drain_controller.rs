use super::{DrainAction, DrainEvent, DrainLimits, DrainPhase, DrainWork};
use crate::clock::{ClockTime, TimeSpan};

/// Decides the steps of a graceful shutdown, from the termination signal to the
/// exit of the process.
#[derive(Debug)]
pub struct DrainController {
    limits: DrainLimits,
    phase: DrainPhase,
    /// When the current phase began.
    phase_start: ClockTime,
    /// When the node stops waiting for work. Set at the first signal; another
    /// signal before the handover moves it to the time of that signal.
    work_deadline: ClockTime,
    work: DrainWork,
    handed_over: bool,
    /// Whether the wait ended with work in progress.
    forced: bool,
}

impl DrainController {
    /// Creates the controller of a node that is serving requests.
    #[must_use]
    pub fn new(limits: DrainLimits) -> Self {
        Self {
            limits,
            phase: DrainPhase::Serving,
            phase_start: ClockTime::ZERO,
            work_deadline: ClockTime::ZERO,
            work: DrainWork::default(),
            handed_over: false,
            forced: false,
        }
    }

    /// Current phase of the shutdown.
    #[must_use]
    pub const fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Whether answers to callers carry `connection: close`.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.phase > DrainPhase::Serving
    }

    /// Time by which a request that arrives now must end, at the latest, to be
    /// accepted. `None` while all requests are accepted: until idle connections are
    /// closed the load balancer may still send some, and most end long before their
    /// deadlines. Later ones come on connections that were busy; they are few and would
    /// be cut at the end of the grace period.
    #[must_use]
    pub fn request_cutoff(&self) -> Option<ClockTime> {
        (self.phase >= DrainPhase::Finishing).then_some(self.work_deadline)
    }

    /// Handles an event and returns the next step, if one is due.
    ///
    /// After the first signal a tick must be passed in at least every few tens
    /// of milliseconds.
    #[must_use]
    pub fn handle(&mut self, event: DrainEvent, now: ClockTime) -> Option<DrainAction> {
        match event {
            DrainEvent::Signal => self.on_signal(now),
            DrainEvent::Tick(work) => {
                self.work = work;
                self.on_tick(now)
            }
            DrainEvent::HandoverEnded => {
                self.handed_over = true;
                None
            }
        }
    }

    fn on_signal(&mut self, now: ClockTime) -> Option<DrainAction> {
        match self.phase {
            DrainPhase::Serving => {
                self.work_deadline = now + self.limits.work;
                self.enter(DrainPhase::Unready, now);
                Some(DrainAction::TurnUnready)
            }
            DrainPhase::Unready | DrainPhase::Closing | DrainPhase::Finishing => {
                self.work_deadline = now;
                None
            }
            DrainPhase::HandingOver => {
                self.forced = true;
                None
            }
            DrainPhase::Stopped => None,
        }
    }

    fn on_tick(&mut self, now: ClockTime) -> Option<DrainAction> {
        let elapsed = now.since(self.phase_start);
        let expired = now >= self.work_deadline;
        match self.phase {
            DrainPhase::Unready if expired || elapsed >= self.limits.unready => {
                self.enter(DrainPhase::Closing, now);
                Some(DrainAction::StopAccepting)
            }
            DrainPhase::Closing if expired || elapsed >= self.limits.closing => {
                self.enter(DrainPhase::Finishing, now);
                Some(DrainAction::CloseIdle)
            }
            DrainPhase::Finishing if expired || self.work.is_empty() => {
                self.forced = !self.work.is_empty();
                self.enter(DrainPhase::HandingOver, now);
                Some(DrainAction::SealAndHandOver)
            }
            DrainPhase::HandingOver if self.may_stop(elapsed) => {
                self.enter(DrainPhase::Stopped, now);
                Some(DrainAction::Stop {
                    unfinished: self.work,
                })
            }
            _ => None,
        }
    }

    /// Whether the process may exit. After the handover the calls that waited
    /// for it are answered first, unless work is aborted anyway.
    fn may_stop(&self, elapsed: TimeSpan) -> bool {
        let finished = self.handed_over && (self.forced || self.work.is_empty());
        finished || elapsed >= self.limits.handover
    }

    const fn enter(&mut self, phase: DrainPhase, now: ClockTime) {
        self.phase = phase;
        self.phase_start = now;
    }
}
