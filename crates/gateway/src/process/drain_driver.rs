use std::time::Duration;

use async_channel::Sender;
use smol::{Task, Timer};
use verbenahub_core::drain::{DrainAction, DrainController, DrainEvent, DrainLimits, DrainWork};

use super::Shared;

/// Interval at which the requests in progress are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Executes the actions of a [`DrainController`]: shuts the gateway down
/// gracefully.
#[derive(Debug)]
pub struct DrainDriver {
    shared: Shared,
    controller: DrainController,
    accepting: Option<Task<()>>,
    caller_shutdown: Sender<()>,
}

impl DrainDriver {
    /// Creates the driver. `accepting` is the task that accepts connections of
    /// callers; closing `caller_shutdown` closes their idle connections.
    #[must_use]
    pub fn new(shared: Shared, accepting: Task<()>, caller_shutdown: Sender<()>) -> Self {
        let limits = DrainLimits::behind_balancer(shared.profile.grace_period);
        Self {
            controller: DrainController::new(limits),
            shared,
            accepting: Some(accepting),
            caller_shutdown,
        }
    }

    /// Drains the node. Returns when the process may exit.
    pub async fn run(mut self) {
        let mut event = DrainEvent::Signal;
        loop {
            let action = self.controller.handle(event, self.shared.now());
            let cutoff = self.controller.request_cutoff();
            self.shared.request_cutoff.set(cutoff);
            let is_handover = action == Some(DrainAction::SealAndHandOver);
            if let Some(action) = action {
                slog::info!(self.shared.log, "drain: Next step.";
                    "phase" => %self.controller.phase(), "requests" => self.shared.work.count());
                if self.execute(action).await {
                    return;
                }
            }
            event = if is_handover {
                // The gateway holds no state that another node could take over.
                DrainEvent::HandoverEnded
            } else {
                // The delay lets connections that the action has woken read
                // requests that have already arrived, so that these are counted.
                Timer::after(POLL_INTERVAL).await;
                DrainEvent::Tick(self.work())
            };
        }
    }

    /// Executes an action. Returns whether the process may exit.
    async fn execute(&mut self, action: DrainAction) -> bool {
        match action {
            DrainAction::TurnUnready => {
                self.shared.stopping.set(true);
                self.shared.publish_changes();
                self.shared.stage_collector.recheck_targets();
            }
            DrainAction::StopAccepting => {
                if let Some(accepting) = self.accepting.take() {
                    accepting.cancel().await;
                }
            }
            DrainAction::CloseIdle => {
                self.caller_shutdown.close();
            }
            DrainAction::SealAndHandOver => {
                // Requests that are left now have no time left. If none is, one that
                // still arrives is served.
                if !self.work().is_empty() {
                    self.shared.end_work();
                }
            }
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
