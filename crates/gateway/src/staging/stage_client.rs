use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, PoolName, TargetId},
    staging::{QueueBacklog, ShardMap},
};

use super::{StageAnswer, StageAsk};
use crate::{
    peers::{PROBE_PATH, PeerAck, PeerError, STAGE_PATH},
    process::Shared,
};

/// Collectors that a set is offered to at most, one after the other.
const OFFERS: u32 = 3;
/// Time for which the choice of collectors counts as known. Members come and go
/// within seconds.
const SHARDS_LIFETIME: TimeSpan = TimeSpan::from_millis(100);
/// Age at which a backlog says nothing any more.
const BACKLOG_LIFETIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Time for which a collector that has work may be silent before it is probed.
const SILENCE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time for its answer to the probe.
const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Time added to a set's own for the way of the answer.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(200);

/// The collectors of a service as they were found last.
#[derive(Clone, Debug)]
struct KnownShards {
    shards: Rc<ShardMap>,
    /// Changes of targets and members that they were taken from.
    changes: u64,
    at: ClockTime,
}

/// Finds the node that collects a stage's pieces, and remembers how much waits
/// there.
#[derive(Debug, Default)]
pub struct StageClient {
    backlogs: RefCell<HashMap<PoolName, (QueueBacklog, ClockTime)>>,
    shards: RefCell<HashMap<PoolName, KnownShards>>,
    /// When each collector has answered last.
    heard: RefCell<HashMap<NodeId, ClockTime>>,
}

impl StageClient {
    /// What waits at a service's collectors, as they said last.
    #[must_use]
    pub fn backlog(&self, service: &PoolName, now: ClockTime) -> QueueBacklog {
        let backlogs = self.backlogs.borrow();
        let known = backlogs.get(service);
        let fresh = known.filter(|(_, at)| now.since(*at) < BACKLOG_LIFETIME);
        fresh.map_or_else(QueueBacklog::default, |(backlog, at)| {
            backlog.after(now.since(*at))
        })
    }

    /// Which node collects for which targets of a service.
    #[must_use]
    pub fn shards(&self, shared: &Shared, service: &PoolName) -> Rc<ShardMap> {
        let (now, changes) = (shared.now(), shared.change_count.get());
        if let Some(known) = self.shards.borrow().get(service)
            && known.changes == changes
            && now.since(known.at) < SHARDS_LIFETIME
        {
            return Rc::clone(&known.shards);
        }
        let targets = shared.ready_targets(service);
        let ids: Vec<TargetId> = targets.iter().map(|record| record.id.clone()).collect();
        let members = shared.fleet.borrow().eligible_members(now);
        let config = shared.config();
        let has_engines = config.is_some_and(|config| config.engine_memory(service).is_some());
        let share = if has_engines {
            ShardMap::ENGINES_PER_OWNER
        } else {
            ShardMap::STAGE_TARGETS_PER_OWNER
        };
        let shards = Rc::new(ShardMap::new(service, &ids, &members, share));
        let known = KnownShards {
            shards: Rc::clone(&shards),
            changes,
            at: now,
        };
        self.shards.borrow_mut().insert(service.clone(), known);
        shards
    }

    /// The node that collects the pieces of a request for a service.
    #[must_use]
    pub fn collector(&self, shared: &Shared, service: &PoolName, request: &str) -> Option<NodeId> {
        let shards = self.shards(shared, service);
        shards.owner_of_request(request).cloned()
    }

    /// Has the pieces of a set produced by their collector.
    pub async fn run(&self, shared: &Shared, ask: StageAsk) -> StageAnswer {
        let begun = shared.now();
        let mut failure = String::from("no collector");
        let mut told: Option<NodeId> = None;
        for offer in 1..=OFFERS {
            let spent = shared.now().since(begun);
            let ask = StageAsk {
                goal_left: ask.goal_left.saturating_sub(spent),
                dead_left: ask.dead_left.saturating_sub(spent),
                movable: offer < OFFERS,
                ..ask.clone()
            };
            let owner = told.take();
            let owner = owner.or_else(|| self.collector(shared, &ask.service, &ask.request));
            match self.offer(shared, ask, owner.clone()).await {
                Ok((
                    _,
                    StageAnswer::Moved {
                        owner: next,
                        stopping,
                    },
                )) => {
                    if let Some(owner) = owner.filter(|_| stopping) {
                        self.note_lost(shared, &owner);
                    }
                    told = next;
                    "no collector".clone_into(&mut failure);
                }
                Ok(answer) => {
                    self.note(shared, &answer, begun);
                    return answer.1;
                }
                Err(error) => failure = error.to_string(),
            }
        }
        StageAnswer::Failed { reason: failure }
    }

    async fn offer(
        &self,
        shared: &Shared,
        mut ask: StageAsk,
        owner: Option<NodeId>,
    ) -> Result<(PoolName, StageAnswer), PeerError> {
        let service = ask.service.clone();
        let is_own = owner.as_ref() == Some(&shared.profile.node);
        let remote = owner.filter(|owner| *owner != shared.profile.node);
        let address = remote
            .as_ref()
            .and_then(|owner| shared.fleet.borrow().address_of(owner));
        let (Some(owner), Some(address)) = (remote, address) else {
            // Without a collector that can be asked, this node does the work.
            ask.movable &= is_own;
            return Ok((service, shared.desk.run(shared, ask).await));
        };
        let timeout = ask.dead_left + ANSWER_SLACK;
        let call = shared.peers.call(address, STAGE_PATH, &ask, timeout);
        let lost = async {
            self.wait_silence(shared, &owner, address).await;
            Err(PeerError::Unreachable("silent".to_owned()))
        };
        let answer = call.or(lost).await;
        let end = if answer.is_ok() { "answered" } else { "failed" };
        let calls = &shared.metrics.peer_calls;
        calls.with_label_values(&["stage", end]).inc();
        match answer {
            Ok(answer) => {
                let mut heard = self.heard.borrow_mut();
                heard.insert(owner, shared.now());
                Ok((service, answer))
            }
            // The collector lives; it has no place for the set in its time.
            Err(PeerError::Silent) => {
                let reason = "not done in time".to_owned();
                Ok((service, StageAnswer::Failed { reason }))
            }
            Err(error) => {
                slog::warn!(shared.log, "stage: Collector did not answer.";
                    "request" => &ask.request, "service" => %service, "collector" => %owner,
                    "error" => %error);
                self.note_lost(shared, &owner);
                Err(error)
            }
        }
    }

    /// Leaves a node out of the choice of collectors for a while.
    fn note_lost(&self, shared: &Shared, node: &NodeId) {
        shared
            .fleet
            .borrow_mut()
            .record_unreachable(node, shared.now());
        self.shards.borrow_mut().clear();
    }

    /// Waits until a collector seems to be gone: it has answered nothing for a
    /// while and takes no new connection.
    async fn wait_silence(&self, shared: &Shared, owner: &NodeId, address: SocketAddr) {
        loop {
            Timer::after(SILENCE_INTERVAL.into()).await;
            let now = shared.now();
            let heard = self.heard.borrow().get(owner).copied();
            if heard.is_some_and(|heard| now.since(heard) < SILENCE_INTERVAL) {
                continue;
            }
            let probe: Result<PeerAck, PeerError> = shared
                .peers
                .call_anew(address, PROBE_PATH, &PeerAck, PROBE_TIMEOUT)
                .await;
            if probe.is_err() {
                return;
            }
            self.heard.borrow_mut().insert(owner.clone(), shared.now());
        }
    }

    fn note(&self, shared: &Shared, answer: &(PoolName, StageAnswer), begun: ClockTime) {
        let now = shared.now();
        let (service, answer) = answer;
        if let Some(backlog) = answer.backlog() {
            let mut backlogs = self.backlogs.borrow_mut();
            backlogs.insert(service.clone(), (backlog, now));
        }
        let seconds = &shared.metrics.stage_seconds;
        let took = now.since(begun).as_secs_f64();
        seconds.with_label_values(&[service.as_str()]).observe(took);
    }
}
