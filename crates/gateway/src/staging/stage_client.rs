use std::{cell::RefCell, collections::HashMap};

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, PoolName},
    staging::ShardMap,
};

use super::{StageAnswer, StageAsk};
use crate::{
    peers::{PeerError, STAGE_PATH},
    process::Shared,
};

/// Collectors that a set is offered to at most, one after the other.
const OFFERS: u32 = 3;
/// Age at which a backlog says nothing any more.
const BACKLOG_LIFETIME: TimeSpan = TimeSpan::from_millis(1_500);
/// Time added to a set's own for the way of the answer.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(200);

/// Finds the node that collects a stage's pieces, and remembers how much waits
/// there.
#[derive(Debug, Default)]
pub struct StageClient {
    backlogs: RefCell<HashMap<PoolName, (TimeSpan, ClockTime)>>,
}

impl StageClient {
    /// What waits at a service's collectors, as they said last.
    #[must_use]
    pub fn backlog(&self, service: &PoolName, now: ClockTime) -> TimeSpan {
        let backlogs = self.backlogs.borrow();
        let known = backlogs.get(service);
        let fresh = known.filter(|(_, at)| now.since(*at) < BACKLOG_LIFETIME);
        fresh.map_or(TimeSpan::ZERO, |(backlog, at)| {
            backlog.saturating_sub(now.since(*at))
        })
    }

    /// The node that collects the pieces of a request for a service.
    #[must_use]
    pub fn collector(shared: &Shared, service: &PoolName, request: &str) -> Option<NodeId> {
        let count = shared.ready_targets(service).len();
        let members = shared.fleet.borrow().active(shared.now());
        let shards = ShardMap::new(service, count, &members);
        shards.owner_of_request(request).cloned()
    }

    /// Has the pieces of a set produced by their collector.
    pub async fn run(&self, shared: &Shared, ask: StageAsk) -> StageAnswer {
        let begun = shared.now();
        let mut failure = String::from("no collector");
        for _ in 0..OFFERS {
            let spent = shared.now().since(begun);
            let ask = StageAsk {
                goal_left: ask.goal_left.saturating_sub(spent),
                dead_left: ask.dead_left.saturating_sub(spent),
                ..ask.clone()
            };
            match self.offer(shared, ask).await {
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
        ask: StageAsk,
    ) -> Result<(PoolName, StageAnswer), PeerError> {
        let service = ask.service.clone();
        let owner = Self::collector(shared, &service, &ask.request);
        let remote = owner.filter(|owner| *owner != shared.profile.node);
        let address = remote
            .as_ref()
            .and_then(|owner| shared.fleet.borrow().address_of(owner));
        let (Some(owner), Some(address)) = (remote, address) else {
            return Ok((service, shared.desk.run(shared, ask).await));
        };
        let timeout = ask.dead_left + ANSWER_SLACK;
        let answer = shared.peers.call(address, STAGE_PATH, &ask, timeout).await;
        let end = if answer.is_ok() { "answered" } else { "failed" };
        let calls = &shared.metrics.peer_calls;
        calls.with_label_values(&["stage", end]).inc();
        match answer {
            Ok(answer) => Ok((service, answer)),
            Err(error) => {
                slog::warn!(shared.log, "stage: Collector did not answer.";
                    "request" => &ask.request, "service" => %service, "collector" => %owner,
                    "error" => %error);
                let now = shared.now();
                shared.fleet.borrow_mut().note_unreached(&owner, now);
                Err(error)
            }
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
