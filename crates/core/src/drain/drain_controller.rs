use super::{DrainAction, DrainEvent, DrainLimits, DrainPhase, DrainWork};
use crate::clock::{ClockTime, TimeSpan};

/// Decides what a node does from the signal to stop until its end.
#[derive(Debug)]
pub struct DrainController {
    limits: DrainLimits,
    phase: DrainPhase,
    /// When the phase began.
    since: ClockTime,
    /// When the waiting for work ends, known from the signal on.
    work_until: ClockTime,
    work: DrainWork,
    handed_over: bool,
    /// Whether the waiting was ended with work left.
    forced: bool,
}

impl DrainController {
    /// Creates the machine of a node that serves.
    #[must_use]
    pub fn new(limits: DrainLimits) -> Self {
        Self {
            limits,
            phase: DrainPhase::Serving,
            since: ClockTime::ZERO,
            work_until: ClockTime::ZERO,
            work: DrainWork::default(),
            handed_over: false,
            forced: false,
        }
    }

    /// How far the stop has come.
    #[must_use]
    pub const fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Whether answers to callers carry `connection: close`.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.phase > DrainPhase::Serving
    }

    /// Takes an event and says what to do, at most one step at a time.
    ///
    /// Ticks are due at least every few tens of milliseconds once a signal
    /// came.
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
                self.work_until = now + self.limits.work;
                self.enter(DrainPhase::Unready, now);
                Some(DrainAction::TurnUnready)
            }
            DrainPhase::Unready | DrainPhase::Closing | DrainPhase::Finishing => {
                self.work_until = now;
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
        let elapsed = now.since(self.since);
        let late = now >= self.work_until;
        match self.phase {
            DrainPhase::Unready if late || elapsed >= self.limits.unready => {
                self.enter(DrainPhase::Closing, now);
                Some(DrainAction::StopAccepting)
            }
            DrainPhase::Closing if late || elapsed >= self.limits.closing => {
                self.enter(DrainPhase::Finishing, now);
                Some(DrainAction::CloseIdle)
            }
            DrainPhase::Finishing if late || self.work.is_empty() => {
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

    /// Calls that waited for the end of the handover get their answers first,
    /// unless work is being cut off anyway.
    fn may_stop(&self, elapsed: TimeSpan) -> bool {
        let finished = self.handed_over && (self.forced || self.work.is_empty());
        finished || elapsed >= self.limits.handover
    }

    const fn enter(&mut self, phase: DrainPhase, now: ClockTime) {
        self.phase = phase;
        self.since = now;
    }
}
