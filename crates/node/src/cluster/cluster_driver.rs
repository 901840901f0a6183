use std::{collections::HashMap, sync::Arc};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use slog::Logger;
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    cluster::{
        ClusterAction, ClusterEvent, ClusterMachine, ClusterNote, GossipReply, ReplyToken,
        TICK_SPAN,
    },
    feed::FeedKind,
    ids::RevisionNumber,
};

use super::{
    ClusterLink, ClusterOptions, FeedUpdate, driver_event::DriverEvent,
    gossip_client::GossipClient, platform_client::PlatformClient,
};
use crate::{
    connection::ClientPool,
    process::{ProcessClock, TaskGroup},
};

/// Events that may wait for the loop.
const EVENT_LIMIT: usize = 1_024;

/// Runs the cluster machine of a node.
///
/// One loop owns the machine, so no lock is needed. Calls and reads run as
/// tasks and report back to the loop.
pub struct ClusterDriver<Sink> {
    machine: ClusterMachine,
    link: Arc<ClusterLink>,
    sender: Sender<DriverEvent>,
    events: Receiver<DriverEvent>,
    client: GossipClient,
    platform: [Arc<PlatformClient>; 2],
    replies: HashMap<ReplyToken, Sender<GossipReply>>,
    next_token: u64,
    clock: ProcessClock,
    log: Logger,
    sink: Sink,
}

impl<Sink> ClusterDriver<Sink>
where
    Sink: FnMut(&FeedUpdate),
{
    /// Creates the driver. `sink` takes in the changes of the feeds, before
    /// the view shows them.
    #[must_use]
    pub fn new(options: ClusterOptions, sink: Sink) -> Self {
        let now = options.clock.now();
        let mut machine = ClusterMachine::new(options.settings, now);
        let (sender, events) = async_channel::bounded(EVENT_LIMIT);
        let view = machine.view(now);
        let link = ClusterLink::new(view, sender.clone(), options.secret.clone());
        let pool = Arc::new(ClientPool::default());
        let services = [options.config_service, options.membership_service];
        let platform =
            services.map(|addresses| Arc::new(PlatformClient::new(Arc::clone(&pool), addresses)));
        Self {
            machine,
            link: Arc::new(link),
            sender,
            events,
            client: GossipClient::new(pool, options.secret),
            platform,
            replies: HashMap::new(),
            next_token: 0,
            clock: options.clock,
            log: options.log,
            sink,
        }
    }

    /// What the other parts of the node see.
    #[must_use]
    pub fn link(&self) -> Arc<ClusterLink> {
        Arc::clone(&self.link)
    }

    /// Runs until the future is dropped. Calls run as tasks of `calls`, which
    /// the caller cancels afterwards.
    pub async fn run(mut self, calls: TaskGroup) {
        loop {
            let event = self.next_event().await;
            let Some(event) = self.unpack(event) else {
                continue;
            };
            let is_tick = matches!(event, ClusterEvent::Tick);
            let now = self.clock.now();
            for action in self.machine.handle(event, now) {
                self.carry_out(action, &calls);
            }
            self.link.publish(self.machine.view(now));
            if is_tick {
                self.replies.retain(|_, reply| !reply.is_closed());
            }
        }
    }

    /// The next event, or a tick when none comes in time. A steady stream of
    /// events does not hold ticks back.
    async fn next_event(&mut self) -> DriverEvent {
        let since_tick = self.clock.now().since(self.machine.last_tick());
        let left = TICK_SPAN.saturating_sub(since_tick);
        if left.is_zero() {
            return DriverEvent::Machine(ClusterEvent::Tick);
        }
        let events = self.events.clone();
        let event = async move { events.recv().await.unwrap_or(TICK) };
        let tick = async {
            Timer::after(left.into()).await;
            TICK
        };
        event.or(tick).await
    }

    fn unpack(&mut self, event: DriverEvent) -> Option<ClusterEvent> {
        match event {
            DriverEvent::Machine(event) => Some(event),
            DriverEvent::Call(call, reply) => {
                if reply.is_closed() {
                    return None;
                }
                let token = ReplyToken(self.next_token);
                self.next_token += 1;
                self.replies.insert(token, reply);
                Some(ClusterEvent::Call { token, call })
            }
        }
    }

    fn carry_out(&mut self, action: ClusterAction, calls: &TaskGroup) {
        match action {
            ClusterAction::Call {
                id,
                address,
                timeout,
                call,
            } => {
                let client = self.client.clone();
                let sender = self.sender.clone();
                calls.spawn(async move {
                    let event = match client.call(address, &call, timeout).await {
                        Ok(reply) => ClusterEvent::Reply {
                            id,
                            reply: Box::new(reply),
                        },
                        Err(_) => ClusterEvent::CallFailed { id },
                    };
                    report(&sender, event).await;
                });
            }
            ClusterAction::Reply { token, reply } => {
                if let Some(sender) = self.replies.remove(&token) {
                    // The caller may have given up.
                    let _ = sender.try_send(*reply);
                }
            }
            ClusterAction::Refuse { token } => {
                self.replies.remove(&token);
            }
            ClusterAction::ReadFeed { feed, after, wait } => {
                self.read_feed(feed, after, wait, calls);
            }
            ClusterAction::FeedChanged {
                feed,
                version,
                items,
            } => {
                let count = items.len();
                slog::info!(self.log, "cluster: Feed changed.";
                    "feed" => %feed, "version" => %version, "items" => count);
                (self.sink)(&FeedUpdate {
                    feed,
                    version,
                    items,
                });
            }
            ClusterAction::Note(note) => self.write_note(&note),
        }
    }

    fn read_feed(&self, feed: FeedKind, after: RevisionNumber, wait: TimeSpan, calls: &TaskGroup) {
        let platform = Arc::clone(&self.platform[feed.index()]);
        let sender = self.sender.clone();
        let log = self.log.clone();
        calls.spawn(async move {
            let event = match platform.read(after, wait).await {
                Ok(page) => ClusterEvent::FeedRead { feed, page },
                Err(error) => {
                    slog::debug!(log, "cluster: Read failed.";
                        "feed" => %feed, "error" => %error);
                    ClusterEvent::FeedFailed { feed }
                }
            };
            report(&sender, event).await;
        });
    }

    fn write_note(&self, note: &ClusterNote) {
        match note {
            ClusterNote::FeedRefused { feed, reason } => {
                slog::error!(self.log, "cluster: Changes refused.";
                    "feed" => %feed, "reason" => reason);
            }
            ClusterNote::Paused { span } => {
                slog::warn!(self.log, "cluster: Process was paused."; "span" => %span);
            }
            ClusterNote::Superseded => {
                slog::error!(
                    self.log,
                    "cluster: Another process runs under this node id."
                );
            }
        }
    }
}

const TICK: DriverEvent = DriverEvent::Machine(ClusterEvent::Tick);

async fn report(sender: &Sender<DriverEvent>, event: ClusterEvent) {
    // The loop has ended only when the process stops.
    let _ = sender.send(DriverEvent::Machine(event)).await;
}
