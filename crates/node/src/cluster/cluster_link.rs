use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_channel::Sender;
use futures_lite::FutureExt;
use smol::Timer;
use thiserror::Error;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::{ClusterEvent, ClusterView, GossipCall, GossipReply, Readiness},
    ids::{IncarnationNumber, NodeId},
    settings::ClusterSecret,
};

use super::driver_event::DriverEvent;

/// Time after which a call of another node is given up. Longer than a relayed
/// probe takes.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// What the other parts of the node see of the cluster.
pub struct ClusterLink {
    view: ArcSwap<ClusterView>,
    events: Sender<DriverEvent>,
    secret: ClusterSecret,
    refused: AtomicU64,
}

/// Why a call of another node got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The driver has too many events to handle, or has ended.
    #[error("the node cannot take the call")]
    Busy,
    /// The call came from this node's own identifier.
    #[error("the call came from this node")]
    OwnCall,
    /// The driver did not answer in time.
    #[error("no reply in time")]
    Timeout,
}

impl ClusterLink {
    pub(super) fn new(
        view: ClusterView,
        events: Sender<DriverEvent>,
        secret: ClusterSecret,
    ) -> Self {
        Self {
            view: ArcSwap::from_pointee(view),
            events,
            secret,
            refused: AtomicU64::new(0),
        }
    }

    /// The present view of the cluster.
    #[must_use]
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// Whether the node takes requests at `now`, and if not, why.
    #[must_use]
    pub fn readiness(&self, now: ClockTime) -> Readiness {
        self.view.load().readiness_at(now)
    }

    /// Tells all nodes that this one stops.
    pub async fn leave(&self) {
        self.send(ClusterEvent::Leave).await;
    }

    /// Tells all nodes which run has taken over the tickets of this one. The
    /// process should run on for half a second, so that the news gets out.
    pub async fn hand_over(&self, successor: NodeId, incarnation: IncarnationNumber) {
        let event = ClusterEvent::HandOver {
            successor,
            incarnation,
        };
        self.send(event).await;
    }

    /// Calls refused because of a wrong secret or a malformed message.
    #[must_use]
    pub fn refused_calls(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether a call brings the cluster's secret.
    #[must_use]
    pub fn admits(&self, secret: Option<&str>) -> bool {
        let admitted = secret.is_some_and(|secret| self.secret.verify(secret.as_bytes()));
        if !admitted {
            self.count_refused();
        }
        admitted
    }

    /// Answers a call of another node.
    ///
    /// # Errors
    ///
    /// Fails when the driver is busy or has ended, and for calls that came
    /// from this node's own identifier.
    pub async fn answer(&self, call: GossipCall) -> Result<GossipReply, LinkError> {
        let (sender, replies) = async_channel::bounded(1);
        let event = DriverEvent::Call(Box::new(call), sender);
        self.events.try_send(event).map_err(|_| LinkError::Busy)?;
        let reply = async { replies.recv().await.map_err(|_| LinkError::OwnCall) };
        let late = async {
            Timer::after(ANSWER_TIMEOUT.into()).await;
            Err(LinkError::Timeout)
        };
        reply.or(late).await
    }

    pub(super) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn publish(&self, view: ClusterView) {
        self.view.store(Arc::new(view));
    }

    async fn send(&self, event: ClusterEvent) {
        // The loop has ended only when the process stops.
        let _ = self.events.send(DriverEvent::Machine(event)).await;
    }
}

impl fmt::Debug for ClusterLink {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ClusterLink")
            .finish_non_exhaustive()
    }
}
