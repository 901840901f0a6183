use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, PoolName, TargetId},
    staging::{QueueBacklog, ShardMap},
};

use super::{StageAnswer, StageRequest};
use crate::{
    peers::{PROBE_PATH, PeerAck, PeerError, STAGE_PATH},
    process::Shared,
};

/// Maximum number of times that a set is offered to a collector.
const MAX_OFFERS: u32 = 3;
/// Time for which the collectors of a service are cached. Members join and leave
/// within seconds.
const SHARDS_LIFETIME: TimeSpan = TimeSpan::from_millis(100);
/// Age from which a reported backlog is ignored.
const BACKLOG_LIFETIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Time after which a collector that has work and does not answer is probed.
const SILENCE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Timeout of the probe.
const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Time added to the time left of a set, for the transfer of the answer.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(200);

/// Cached collectors of a service.
#[derive(Clone, Debug)]
struct CachedShards {
    shards: Rc<ShardMap>,
    /// Value of `GatewayState::changes` that they were computed at.
    changes: u64,
    at: ClockTime,
}

/// Sends sets of pieces to their collectors, and keeps the backlogs that these
/// report.
#[derive(Debug, Default)]
pub struct StageClient {
    backlogs: RefCell<HashMap<PoolName, (QueueBacklog, ClockTime)>>,
    shards: RefCell<HashMap<PoolName, CachedShards>>,
    /// When each collector last answered.
    last_answers: RefCell<HashMap<NodeId, ClockTime>>,
}

impl StageClient {
    /// Backlog of a service's collectors, estimated from their latest report. Zero
    /// without a recent one.
    #[must_use]
    pub fn backlog(&self, service: &PoolName, now: ClockTime) -> QueueBacklog {
        let backlogs = self.backlogs.borrow();
        let reported = backlogs.get(service);
        let fresh = reported.filter(|(_, at)| now.since(*at) < BACKLOG_LIFETIME);
        fresh.map_or_else(QueueBacklog::default, |(backlog, at)| {
            backlog.after(now.since(*at))
        })
    }

    /// Returns which node collects for which targets of a service.
    #[must_use]
    pub fn shards(&self, shared: &Shared, service: &PoolName) -> Rc<ShardMap> {
        let (now, changes) = (shared.now(), shared.change_count.get());
        if let Some(cached) = self.shards.borrow().get(service)
            && cached.changes == changes
            && now.since(cached.at) < SHARDS_LIFETIME
        {
            return Rc::clone(&cached.shards);
        }
        let targets = shared.ready_targets(service);
        let ids: Vec<TargetId> = targets.iter().map(|record| record.id.clone()).collect();
        let members = shared.fleet.borrow().eligible_members(now);
        let config = shared.config();
        let has_engines = config.is_some_and(|config| config.engine_memory(service).is_some());
        let targets_per_owner = if has_engines {
            ShardMap::ENGINES_PER_OWNER
        } else {
            ShardMap::STAGE_TARGETS_PER_OWNER
        };
        let shards = Rc::new(ShardMap::new(service, &ids, &members, targets_per_owner));
        let cached = CachedShards {
            shards: Rc::clone(&shards),
            changes,
            at: now,
        };
        self.shards.borrow_mut().insert(service.clone(), cached);
        shards
    }

    /// Returns the node that collects the pieces of a request for a service.
    #[must_use]
    pub fn collector(&self, shared: &Shared, service: &PoolName, request: &str) -> Option<NodeId> {
        let shards = self.shards(shared, service);
        shards.owner_of_request(request).cloned()
    }

    /// Has the pieces of a set produced by their collector. If that does not answer
    /// or no longer collects for the service, the set is offered again, to the
    /// collector that the answer names if it names one.
    pub async fn run(&self, shared: &Shared, request: StageRequest) -> StageAnswer {
        let begun = shared.now();
        let mut failure = String::from("no collector");
        let mut redirect: Option<NodeId> = None;
        for offer in 1..=MAX_OFFERS {
            let spent = shared.now().since(begun);
            let request = StageRequest {
                goal_left: request.goal_left.saturating_sub(spent),
                dead_left: request.dead_left.saturating_sub(spent),
                movable: offer < MAX_OFFERS,
                ..request.clone()
            };
            let owner = redirect.take();
            let owner =
                owner.or_else(|| self.collector(shared, &request.service, &request.request));
            match self.offer(shared, request, owner.clone()).await {
                Ok((
                    _,
                    StageAnswer::Moved {
                        owner: next,
                        stopping,
                    },
                )) => {
                    if let Some(owner) = owner.filter(|_| stopping) {
                        self.record_unreachable(shared, &owner);
                    }
                    redirect = next;
                    "no collector".clone_into(&mut failure);
                }
                Ok(answer) => {
                    self.record_answer(shared, &answer, begun);
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
        mut request: StageRequest,
        owner: Option<NodeId>,
    ) -> Result<(PoolName, StageAnswer), PeerError> {
        let service = request.service.clone();
        let is_own = owner.as_ref() == Some(&shared.profile.node);
        let remote = owner.filter(|owner| *owner != shared.profile.node);
        let address = remote
            .as_ref()
            .and_then(|owner| shared.fleet.borrow().address_of(owner));
        let (Some(owner), Some(address)) = (remote, address) else {
            // If no other node can be asked, this node collects the pieces.
            request.movable &= is_own;
            return Ok((service, shared.stage_collector.run(shared, request).await));
        };
        let timeout = request.dead_left + ANSWER_SLACK;
        let call = shared.peers.call(address, STAGE_PATH, &request, timeout);
        let lost = async {
            self.wait_until_unreachable(shared, &owner, address).await;
            Err(PeerError::Unreachable("silent".to_owned()))
        };
        let answer = call.or(lost).await;
        let end = if answer.is_ok() { "answered" } else { "failed" };
        let calls = &shared.metrics.peer_calls;
        calls.with_label_values(&["stage", end]).inc();
        match answer {
            Ok(answer) => {
                let mut last_answers = self.last_answers.borrow_mut();
                last_answers.insert(owner, shared.now());
                Ok((service, answer))
            }
            // The collector is alive, but the time of the set is over.
            Err(PeerError::Timeout) => {
                let reason = "not done in time".to_owned();
                Ok((service, StageAnswer::Failed { reason }))
            }
            Err(error) => {
                slog::warn!(shared.log, "stage: Collector did not answer.";
                    "request" => &request.request, "service" => %service, "collector" => %owner,
                    "error" => %error);
                self.record_unreachable(shared, &owner);
                Err(error)
            }
        }
    }

    /// Excludes a node from the choice of collectors for a while.
    fn record_unreachable(&self, shared: &Shared, node: &NodeId) {
        shared
            .fleet
            .borrow_mut()
            .record_unreachable(node, shared.now());
        self.shards.borrow_mut().clear();
    }

    /// Waits until a collector seems to be gone: it has answered no call for a
    /// while, nor a probe on a new connection.
    async fn wait_until_unreachable(&self, shared: &Shared, owner: &NodeId, address: SocketAddr) {
        loop {
            Timer::after(SILENCE_INTERVAL.into()).await;
            let now = shared.now();
            let answered_at = self.last_answers.borrow().get(owner).copied();
            if answered_at.is_some_and(|at| now.since(at) < SILENCE_INTERVAL) {
                continue;
            }
            let probe: Result<PeerAck, PeerError> = shared
                .peers
                .call_on_new_connection(address, PROBE_PATH, &PeerAck, PROBE_TIMEOUT)
                .await;
            if probe.is_err() {
                return;
            }
            self.last_answers
                .borrow_mut()
                .insert(owner.clone(), shared.now());
        }
    }

    fn record_answer(&self, shared: &Shared, answer: &(PoolName, StageAnswer), begun: ClockTime) {
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
