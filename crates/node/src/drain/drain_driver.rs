use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_signal::Signals;
use futures_lite::{FutureExt, StreamExt};
use smol::{Task, Timer};
use verbenahub_core::drain::{DrainAction, DrainController, DrainEvent, DrainWork};

use super::DaemonEnd;
use crate::{
    process::{NodeState, TaskGroup},
    tickets::LedgerHandover,
};

/// Interval at which the work that is left is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Carries a graceful stop out.
#[derive(Debug)]
pub struct DrainDriver {
    node: Arc<NodeState>,
    machine: DrainController,
    /// Accepts connections of callers, until it is dropped.
    accepting: Option<Task<()>>,
    connections: TaskGroup,
    handover: Option<Task<()>>,
    handed_over: (Sender<()>, Receiver<()>),
}

impl DrainDriver {
    /// Prepares the stop of a node. `accepting` accepts connections of
    /// callers, which run in `connections`.
    #[must_use]
    pub fn new(node: Arc<NodeState>, accepting: Task<()>, connections: TaskGroup) -> Self {
        let settings = &node.settings;
        let limits = settings.drain.limits(settings.limits.shutdown);
        Self {
            machine: DrainController::new(limits),
            node,
            accepting: Some(accepting),
            connections,
            handover: None,
            handed_over: async_channel::bounded(1),
        }
    }

    /// Stops the node. Begins at once; further signals hurry it.
    pub async fn run(mut self, signals: &mut Signals) -> DaemonEnd {
        let mut event = DrainEvent::Signal;
        loop {
            let action = self.machine.handle(event, self.node.now());
            if let Some(action) = action {
                slog::info!(self.node.log, "drain: Next step."; "phase" => %self.machine.phase());
                if let Some(end) = self.carry_out(action).await {
                    return end;
                }
            }
            event = self.next_event(signals).await;
        }
    }

    async fn next_event(&self, signals: &mut Signals) -> DrainEvent {
        let signal = async {
            signals.next().await;
            DrainEvent::Signal
        };
        let handed_over = async {
            // The sender lives as long as this driver.
            let _ = self.handed_over.1.recv().await;
            DrainEvent::HandoverEnded
        };
        let look = async {
            Timer::after(LOOK_INTERVAL).await;
            DrainEvent::Tick(self.work())
        };
        signal.or(handed_over).or(look).await
    }

    /// Work that a stop must not cut off.
    fn work(&self) -> DrainWork {
        DrainWork {
            requests: self.connections.len() + self.node.requests.len(),
            forwarded: self.node.tickets.open_calls(),
            tickets: self.node.tickets.usage().running,
        }
    }

    async fn carry_out(&mut self, action: DrainAction) -> Option<DaemonEnd> {
        match action {
            DrainAction::TurnUnready => {
                self.node.begin_stop();
                self.node.phase.end_connections();
                self.node.cluster.leave().await;
                None
            }
            DrainAction::StopAccepting => {
                if let Some(accepting) = self.accepting.take() {
                    accepting.cancel().await;
                }
                None
            }
            DrainAction::CloseIdle => {
                self.node.phase.close();
                None
            }
            DrainAction::SealAndHandOver => {
                self.hand_over();
                None
            }
            DrainAction::Stop { unfinished } => Some(self.end(unfinished).await),
        }
    }

    fn hand_over(&mut self) {
        let handover = LedgerHandover::new(Arc::clone(&self.node));
        let limit = self.node.settings.drain.handover;
        let ended = self.handed_over.0.clone();
        self.handover = Some(self.node.requests.spawn_owned(async move {
            handover.run(limit).await;
            // Nobody waits for it after the end of the stop.
            let _ = ended.send(()).await;
        }));
    }

    async fn end(&mut self, cut: DrainWork) -> DaemonEnd {
        if let Some(handover) = self.handover.take() {
            handover.cancel().await;
        }
        self.connections.cancel().await;
        self.node.requests.cancel().await;
        if cut.is_empty() {
            return DaemonEnd::Graceful;
        }
        slog::warn!(self.node.log, "drain: Work was cut off.";
            "requests" => cut.requests, "forwarded" => cut.forwarded, "tickets" => cut.tickets);
        DaemonEnd::Forced
    }
}
