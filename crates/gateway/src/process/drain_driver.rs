use std::time::Duration;

use async_channel::Sender;
use smol::{Task, Timer};
use verbenahub_core::drain::{DrainAction, DrainEvent, DrainLimits, DrainMachine, DrainWork};

use super::Shared;

/// Interval at which the work that is left is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Carries a graceful stop out.
#[derive(Debug)]
pub struct DrainDriver {
    shared: Shared,
    machine: DrainMachine,
    accepting: Option<Task<()>>,
    ending: Sender<()>,
}

impl DrainDriver {
    /// Prepares the stop of a node. `accepting` accepts connections of
    /// callers; closing `ending` ends their idle connections.
    #[must_use]
    pub fn new(shared: Shared, accepting: Task<()>, ending: Sender<()>) -> Self {
        let limits = DrainLimits::behind_balancer(shared.profile.stop_span);
        Self {
            machine: DrainMachine::new(limits),
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
            event = DrainEvent::Tick(self.work());
            let Some(action) = action else {
                Timer::after(LOOK_INTERVAL).await;
                continue;
            };
            slog::info!(self.shared.log, "drain: Next step.";
                "phase" => %self.machine.phase(), "requests" => self.shared.work.count());
            match action {
                DrainAction::TurnUnready => {
                    self.shared.stopping.set(true);
                    self.shared.fleet.borrow_mut().set_active(false);
                }
                DrainAction::StopAccepting => {
                    if let Some(accepting) = self.accepting.take() {
                        accepting.cancel().await;
                    }
                }
                DrainAction::CloseIdle => {
                    self.ending.close();
                }
                // Nothing is kept here that another node could take over.
                DrainAction::SealAndHandOver => event = DrainEvent::HandoverEnded,
                DrainAction::Stop { cut } => {
                    if !cut.is_empty() {
                        slog::warn!(self.shared.log, "drain: Work was cut off.";
                            "requests" => cut.requests);
                    }
                    return;
                }
            }
        }
    }

    fn work(&self) -> DrainWork {
        DrainWork {
            requests: self.shared.work.count(),
            ..DrainWork::default()
        }
    }
}
