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

/// Interval at which unfinished work is counted.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Performs a graceful shutdown: executes the actions of a [`DrainController`].
#[derive(Debug)]
pub struct DrainDriver {
    node: Arc<NodeState>,
    controller: DrainController,
    /// Accepts connections of callers until it is cancelled.
    accepting: Option<Task<()>>,
    connections: TaskGroup,
    handover: Option<Task<()>>,
    handover_ended: (Sender<()>, Receiver<()>),
}

impl DrainDriver {
    /// Prepares the shutdown of a node. The task `accepting` accepts connections
    /// of callers, which run in `connections`.
    #[must_use]
    pub fn new(node: Arc<NodeState>, accepting: Task<()>, connections: TaskGroup) -> Self {
        let settings = &node.settings;
        let limits = settings.drain.limits(settings.limits.shutdown);
        Self {
            controller: DrainController::new(limits),
            node,
            accepting: Some(accepting),
            connections,
            handover: None,
            handover_ended: async_channel::bounded(1),
        }
    }

    /// Shuts the node down. Starts at once; further signals shorten the waits.
    pub async fn run(mut self, signals: &mut Signals) -> DaemonEnd {
        let mut event = DrainEvent::Signal;
        loop {
            let action = self.controller.handle(event, self.node.now());
            if let Some(action) = action {
                slog::info!(self.node.log, "drain: Next step."; "phase" => %self.controller.phase());
                if let Some(end) = self.execute(action).await {
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
        let handover_ended = async {
            // Cannot fail, because this driver owns a sender too.
            let _ = self.handover_ended.1.recv().await;
            DrainEvent::HandoverEnded
        };
        let tick = async {
            Timer::after(TICK_INTERVAL).await;
            DrainEvent::Tick(self.unfinished_work())
        };
        signal.or(handover_ended).or(tick).await
    }

    /// Work that the shutdown waits for.
    fn unfinished_work(&self) -> DrainWork {
        DrainWork {
            requests: self.connections.len() + self.node.requests.len(),
            forwarded: self.node.tickets.open_calls(),
            tickets: self.node.tickets.usage().running,
        }
    }

    async fn execute(&mut self, action: DrainAction) -> Option<DaemonEnd> {
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
                self.start_handover();
                None
            }
            DrainAction::Stop { unfinished } => Some(self.end(unfinished).await),
        }
    }

    fn start_handover(&mut self) {
        let handover = LedgerHandover::new(Arc::clone(&self.node));
        let limit = self.node.settings.drain.handover;
        let ended = self.handover_ended.0.clone();
        self.handover = Some(self.node.requests.spawn_owned(async move {
            handover.run(limit).await;
            // Fails only if the shutdown has ended, when nothing waits for it.
            let _ = ended.send(()).await;
        }));
    }

    async fn end(&mut self, unfinished: DrainWork) -> DaemonEnd {
        if let Some(handover) = self.handover.take() {
            handover.cancel().await;
        }
        self.connections.cancel().await;
        self.node.requests.cancel().await;
        if unfinished.is_empty() {
            return DaemonEnd::Graceful;
        }
        slog::warn!(self.node.log, "drain: Work was cut off.";
            "requests" => unfinished.requests, "forwarded" => unfinished.forwarded, "tickets" => unfinished.tickets);
        DaemonEnd::Forced
    }
}
