use std::time::Duration;

use async_channel::Sender;
use smol::{Task, Timer};
use verbenahub_core::drain::{DrainAction, DrainController, DrainEvent, DrainLimits, DrainWork};

use super::Shared;

/// Interval at which the work that is left is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Carries a graceful stop out.
#[derive(Debug)]
pub struct DrainDriver {
    shared: Shared,
    machine: DrainController,
    accepting: Option<Task<()>>,
    ending: Sender<()>,
}

impl DrainDriver {
    /// Prepares the stop of a node. `accepting` accepts connections of
    /// callers; closing `ending` ends their idle connections.
    #[must_use]
    pub fn new(shared: Shared, accepting: Task<()>, ending: Sender<()>) -> Self {
        let limits = DrainLimits::behind_balancer(shared.profile.grace_period);
        Self {
            machine: DrainController::new(limits),
            shared,
            accepting: Some(accepting),
            ending,
        }
    }

    /// Stops the node: returns when the process may end.
    pub async fn run(mut self) {
        let mut event = DrainEvent::Signal;
        loop {
            let action = self.machine.handle(event, self.shared.now());
            let is_handover = action == Some(DrainAction::SealAndHandOver);
            if let Some(action) = action {
                slog::info!(self.shared.log, "drain: Next step.";
                    "phase" => %self.machine.phase(), "requests" => self.shared.work.count());
                if self.carry_out(action).await {
                    return;
                }
            }
            event = if is_handover {
                // Nothing is kept here that another node could take over.
                DrainEvent::HandoverEnded
            } else {
                // Connections that a step wakes up read what has arrived
                // before their work is counted.
                Timer::after(LOOK_INTERVAL).await;
                DrainEvent::Tick(self.work())
            };
        }
    }

    /// Carries a step out. Returns whether the process may end.
    async fn carry_out(&mut self, action: DrainAction) -> bool {
        match action {
            DrainAction::TurnUnready => {
                self.shared.stopping.set(true);
                self.shared.publish_changes();
                self.shared.desk.review();
            }
            DrainAction::StopAccepting => {
                if let Some(accepting) = self.accepting.take() {
                    accepting.cancel().await;
                }
            }
            DrainAction::CloseIdle => {
                self.ending.close();
            }
            DrainAction::SealAndHandOver => {}
            DrainAction::Stop { unfinished } => {
                if !unfinished.is_empty() {
                    slog::warn!(self.shared.log, "drain: Work was cut off.";
                        "requests" => unfinished.requests);
                }
                return true;
            }
        }
        false
    }

    fn work(&self) -> DrainWork {
        DrainWork {
            requests: self.shared.work.count(),
            ..DrainWork::default()
        }
    }
}
