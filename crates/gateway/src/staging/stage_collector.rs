use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::PoolName,
    staging::{
        CallEnd, CallNumber, QueueBacklog, SetEnd, SetFailure, SetNumber, StageQueue, StageSet,
        TargetPace,
    },
};

use super::{FreeRequest, StageAnswer, StageRequest, stage_call_run::StageCallRun};
use crate::process::Shared;

/// Minimum wait between two planning rounds of a queue, so that rounded times do
/// not cause a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Time for which the targets of a queue are cached. Members join and leave within
/// seconds.
const TARGETS_LIFETIME: TimeSpan = TimeSpan::from_millis(200);
/// Time for which a computed backlog is cached. Short against the duration of a
/// call.
const BACKLOG_LIFETIME: TimeSpan = TimeSpan::from_millis(20);

/// A waiting request for a set of pieces.
#[derive(Debug)]
struct SetWaiter {
    request: Rc<StageRequest>,
    done: Sender<Result<Vec<String>, SetFailure>>,
}

/// Queue of one service, with the requests whose sets are in it.
#[derive(Debug)]
pub(super) struct CollectorQueue {
    service: PoolName,
    queue: RefCell<StageQueue>,
    waiters: RefCell<HashMap<SetNumber, SetWaiter>>,
    wake: (Sender<()>, Receiver<()>),
    /// Whether the task that plans calls has been started.
    is_running: Cell<bool>,
    /// Value of `GatewayState::changes` that the targets were computed at, and
    /// when.
    targets_as_of: Cell<Option<(u64, ClockTime)>>,
    /// Whether this node collects for any target, in its own view of the members.
    is_collector: Cell<bool>,
    backlog: Cell<Option<(QueueBacklog, ClockTime)>>,
}

/// Batches the pieces of requests into calls, in one queue for each service that
/// this node collects for.
#[derive(Debug, Default)]
pub struct StageCollector {
    queues: RefCell<HashMap<PoolName, Rc<CollectorQueue>>>,
}

/// Cancels a set if its request is dropped before the set has ended.
struct SetGuard {
    shared: Shared,
    queue: Rc<CollectorQueue>,
    set: SetNumber,
}

impl Drop for SetGuard {
    fn drop(&mut self) {
        if self.queue.waiters.borrow_mut().remove(&self.set).is_some() {
            let unused = self.queue.queue.borrow_mut().cancel(self.set);
            self.queue.free(&self.shared, unused);
        }
    }
}

impl StageCollector {
    /// Produces the pieces of a set, in calls that it shares with other sets.
    pub async fn run(&self, shared: &Shared, request: StageRequest) -> StageAnswer {
        let Some(queue) = self.queue(shared, &request.service) else {
            return StageAnswer::Failed {
                reason: "no such stage".to_owned(),
            };
        };
        let now = shared.now();
        queue.update_targets(shared);
        if request.movable && !queue.is_collector.get() {
            return queue.moved_answer(shared, &request.request);
        }
        let set = StageSet {
            pieces: request.pieces,
            piece_bytes: request.piece_bytes,
            preferred_zone: request.home.clone(),
            priority: request.priority,
            downstream: request.followers.clone(),
            goal_at: now + request.goal_left,
            deadline: now + request.dead_left,
            refusable: request.refusable,
            movable: request.movable,
            route: request.route.clone(),
            workspace: request.workspace.clone(),
        };
        let offered = queue.queue.borrow_mut().offer(set, now);
        let backlog = queue.backlog(now);
        let waiting = queue.queue.borrow().waiting_pieces();
        let number = match offered {
            Ok(number) => number,
            Err(refusal) => {
                slog::info!(shared.log, "stage: Set refused.";
                    "request" => &request.request, "route" => &request.route,
                    "service" => %request.service, "stage" => request.stage,
                    "pieces" => request.pieces, "waiting_pieces" => waiting, "backlog" => %backlog.on_time, "total_backlog" => %backlog.total,
                    "dead_left" => %request.dead_left, "retry_after" => %refusal.retry_after);
                return StageAnswer::Refused {
                    retry_after: refusal.retry_after,
                    backlog,
                };
            }
        };
        slog::info!(shared.log, "stage: Set queued.";
            "request" => &request.request, "service" => %request.service, "stage" => request.stage,
            "set" => number.0, "pieces" => request.pieces, "waiting_pieces" => waiting,
            "backlog" => %backlog.on_time, "total_backlog" => %backlog.total, "goal_left" => %request.goal_left);
        let (done, result) = async_channel::bounded(1);
        let request = Rc::new(request);
        queue.waiters.borrow_mut().insert(
            number,
            SetWaiter {
                request: Rc::clone(&request),
                done,
            },
        );
        let _guard = SetGuard {
            shared: Shared::clone(shared),
            queue: Rc::clone(&queue),
            set: number,
        };
        queue.wake();
        match result.recv().await {
            Ok(Ok(results)) => StageAnswer::Done {
                results,
                backlog: queue.backlog(shared.now()),
            },
            Ok(Err(SetFailure::Crowded { retry_after })) => StageAnswer::Refused {
                retry_after,
                backlog: queue.backlog(shared.now()),
            },
            Ok(Err(SetFailure::Moved)) => queue.moved_answer(shared, &request.request),
            Ok(Err(failure)) => StageAnswer::Failed {
                reason: format!("{failure:?}"),
            },
            Err(_) => StageAnswer::Failed {
                reason: "queue ended".to_owned(),
            },
        }
    }

    /// Frees results that are no longer needed, at the targets that hold them.
    pub fn free_results(&self, shared: &Shared, request: FreeRequest) {
        let queue = self.queues.borrow().get(&request.service).map(Rc::clone);
        match queue {
            Some(queue) => queue.free(shared, request.names),
            // Another node has collected these results. They are freed at their
            // targets all the same.
            None => shared
                .result_releaser
                .notify_targets(shared, &request.service, request.names),
        }
    }

    /// Makes all queues update their targets now, so that this node hands over the
    /// sets that it no longer collects.
    pub fn recheck_targets(&self) {
        for queue in self.queues.borrow().values() {
            queue.wake();
        }
    }

    /// Releases the room of results that their targets no longer hold.
    pub(super) fn mark_freed(&self, service: &PoolName, names: &[String]) {
        let queue = self.queues.borrow().get(service).map(Rc::clone);
        if let Some(queue) = queue {
            queue.queue.borrow_mut().free(names);
            queue.wake();
        }
    }

    fn queue(&self, shared: &Shared, service: &PoolName) -> Option<Rc<CollectorQueue>> {
        let spec = shared.config()?.stage_service(service)?;
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_insert_with(|| {
            Rc::new(CollectorQueue {
                service: service.clone(),
                queue: RefCell::new(StageQueue::new(spec)),
                waiters: RefCell::default(),
                wake: async_channel::bounded(1),
                is_running: Cell::new(false),
                targets_as_of: Cell::new(None),
                is_collector: Cell::new(false),
                backlog: Cell::new(None),
            })
        });
        queue.queue.borrow_mut().set_service(spec);
        if !queue.is_running.replace(true) {
            let (queue, shared_task) = (Rc::clone(queue), Shared::clone(shared));
            shared
                .tasks
                .spawn(async move { queue.run(shared_task).await });
        }
        Some(Rc::clone(queue))
    }
}

impl CollectorQueue {
    /// Starts the calls that the queue plans, until the task is dropped.
    async fn run(self: Rc<Self>, shared: Shared) {
        loop {
            self.update_targets(&shared);
            let now = shared.now();
            self.update_backlogged(&shared, now);
            self.update_paces(&shared, now);
            let late = self.queue.borrow_mut().shed(now);
            self.deliver(&shared, late);
            loop {
                let planned = self.queue.borrow_mut().plan(now);
                let Some(call) = planned else { break };
                let call = StageCallRun::new(Rc::clone(&self), call);
                let shared_task = Shared::clone(&shared);
                shared
                    .tasks
                    .spawn(async move { call.run(&shared_task).await });
            }
            let next = self.queue.borrow().next_wakeup(now);
            let woken = async {
                // Never closed: the sender lives as long as the queue.
                let _ = self.wake.1.recv().await;
            };
            match next {
                None => woken.await,
                Some(time) => {
                    let wait = Duration::from(now.until(time)).max(MIN_WAIT);
                    let timer = async {
                        Timer::after(wait).await;
                    };
                    woken.or(timer).await;
                }
            }
        }
    }

    /// Returns the queue's backlog, which may be some milliseconds old.
    fn backlog(&self, now: ClockTime) -> QueueBacklog {
        let cached = self.backlog.get();
        if let Some((backlog, at)) = cached
            && now.since(at) < BACKLOG_LIFETIME
        {
            return backlog;
        }
        let backlog = self.queue.borrow().backlog(now);
        self.backlog.set(Some((backlog, now)));
        backlog
    }

    /// Reports the end of a call to the queue and ends the sets that are done.
    pub(super) fn finish(&self, shared: &Shared, call: CallNumber, end: CallEnd) {
        let now = shared.now();
        let done = self.queue.borrow_mut().finish(call, end, now);
        self.deliver(shared, done);
        self.wake();
    }

    /// Frees results at the targets that hold them.
    pub(super) fn free(&self, shared: &Shared, names: Vec<String>) {
        if names.is_empty() {
            return;
        }
        shared
            .result_releaser
            .notify_targets(shared, &self.service, names);
    }

    /// Returns the request of a set, unless it has been dropped.
    pub(super) fn request_of(&self, set: SetNumber) -> Option<Rc<StageRequest>> {
        let waiters = self.waiters.borrow();
        waiters.get(&set).map(|waiter| Rc::clone(&waiter.request))
    }

    /// Returns the name of the service.
    pub(super) const fn service(&self) -> &PoolName {
        &self.service
    }

    fn deliver(&self, shared: &Shared, ends: Vec<SetEnd>) {
        for end in ends {
            self.free(shared, end.unused);
            let waiter = self.waiters.borrow_mut().remove(&end.set);
            match (waiter, end.outcome) {
                (Some(waiter), outcome) => {
                    if let Err(failure) = &outcome
                        && *failure != SetFailure::Moved
                    {
                        slog::warn!(shared.log, "stage: Set failed.";
                            "request" => &waiter.request.request, "route" => &waiter.request.route,
                            "service" => %self.service,
                            "stage" => waiter.request.stage, "reason" => ?failure);
                    }
                    // Fails if the request has been dropped.
                    let _ = waiter.done.try_send(outcome);
                }
                (None, Ok(results)) => self.free(shared, results),
                (None, Err(_)) => {}
            }
        }
    }

    fn wake(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.0.try_send(());
    }

    /// Tells the queue which downstream services have a backlog, by the latest
    /// reports of their collectors.
    fn update_backlogged(&self, shared: &Shared, now: ClockTime) {
        let services = self.queue.borrow().downstream_services();
        let backlogged = services.into_iter().filter(|service| {
            let backlog = shared.stage_client.backlog(service, now);
            let spec = shared
                .config()
                .and_then(|config| config.stage_service(service));
            spec.is_some_and(|spec| backlog.total > spec.backlog_limit())
        });
        let backlogged = backlogged.collect();
        self.queue.borrow_mut().set_backlogged(backlogged);
    }

    /// Tells the queue how often it may call the targets that have limits.
    fn update_paces(&self, shared: &Shared, now: ClockTime) {
        let mut paces = BTreeMap::new();
        if shared.has_limited_targets() {
            for record in shared.ready_targets(&self.service) {
                if let Some((wait, rate)) = shared.permits.owned_wait(shared, &record) {
                    let open_at = now + wait;
                    paces.insert(record.id.clone(), TargetPace { rate, open_at });
                }
            }
        }
        self.queue.borrow_mut().set_paces(&paces);
    }

    /// Sets the targets that the queue may call to those that this node collects
    /// for. A node that no longer collects hands over the sets that it has not
    /// started, and finishes the others with the targets that it had. One that was
    /// asked although it never collected uses the targets of one collector or, if
    /// there is none, all.
    fn update_targets(&self, shared: &Shared) {
        let now = shared.now();
        let changes = shared.change_count.get();
        let is_cached = self
            .targets_as_of
            .get()
            .is_some_and(|(cached, at)| cached == changes && now.since(at) < TARGETS_LIFETIME);
        if is_cached {
            return;
        }
        self.targets_as_of.set(Some((changes, now)));
        let targets = shared.ready_targets(&self.service);
        let shards = shared.stage_client.shards(shared, &self.service);
        let mut owned = shards.targets_of(&shared.profile.node);
        self.is_collector.set(!owned.is_empty());
        if owned.is_empty() {
            self.hand_over(shared);
            let queue = self.queue.borrow();
            let previous = targets.iter().filter(|record| queue.may_call(&record.id));
            owned = previous.map(|record| record.id.clone()).collect();
        }
        // This node never collected: use the targets of one collector.
        if owned.is_empty()
            && let Some(owner) = shards.owners().first()
        {
            owned = shards.targets_of(owner);
        }
        if owned.is_empty() {
            owned = targets.iter().map(|record| record.id.clone()).collect();
        }
        let used = targets.iter().filter(|record| owned.contains(&record.id));
        let used = used.map(|record| (record.id.clone(), record.zone.clone(), record.slots));
        self.queue.borrow_mut().set_targets(used);
    }

    /// Ends the sets that another collector can take over. Their requests are told
    /// the new collector.
    fn hand_over(&self, shared: &Shared) {
        let moved = self.queue.borrow_mut().hand_over();
        if moved.is_empty() {
            return;
        }
        slog::info!(shared.log, "stage: Sets handed over.";
            "service" => %self.service, "sets" => moved.len(),
            "left" => self.queue.borrow().waiting_pieces(),
            "stopping" => shared.stopping.get());
        self.deliver(shared, moved);
    }

    /// Returns the answer that another node collects for the service.
    fn moved_answer(&self, shared: &Shared, request: &str) -> StageAnswer {
        let shards = shared.stage_client.shards(shared, &self.service);
        let owner = shards.owner_of_request(request).cloned();
        let stopping = shared.stopping.get();
        slog::info!(shared.log, "stage: Asked for another collector's work.";
            "request" => request, "service" => %self.service,
            "collector" => owner.as_ref().map(ToString::to_string), "stopping" => stopping);
        StageAnswer::Moved { owner, stopping }
    }
}

impl StageAnswer {
    /// Backlog of the collector, if the answer contains one.
    #[must_use]
    pub const fn backlog(&self) -> Option<QueueBacklog> {
        match self {
            Self::Done { backlog, .. } | Self::Refused { backlog, .. } => Some(*backlog),
            Self::Moved { .. } | Self::Failed { .. } => None,
        }
    }
}
