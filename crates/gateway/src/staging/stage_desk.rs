use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
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
        CallEnd, CallNumber, PieceEnd, QueueBacklog, ResultNames, SetEnd, SetFailure, SetNumber,
        StageQueue, StageSet,
    },
};

use super::{FreeNote, StageAnswer, StageAsk, stage_call_run::StageCallRun};
use crate::process::Shared;

/// Shortest wait between two looks at a queue, so that rounding of times
/// doesn't spin.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// How long the share of targets counts as known. Members come and go within
/// seconds.
const TARGETS_LIFETIME: TimeSpan = TimeSpan::from_millis(200);
/// How long a backlog counts as known. Short against the time of a call.
const BACKLOG_LIFETIME: TimeSpan = TimeSpan::from_millis(20);

/// A request that waits for its pieces.
#[derive(Debug)]
struct SetWaiter {
    ask: Rc<StageAsk>,
    done: Sender<Result<Vec<String>, SetFailure>>,
}

/// The queue of one service, with the requests that wait in it.
#[derive(Debug)]
pub(super) struct DeskQueue {
    service: PoolName,
    queue: RefCell<StageQueue>,
    waiters: RefCell<HashMap<SetNumber, SetWaiter>>,
    wake: (Sender<()>, Receiver<()>),
    is_driven: Cell<bool>,
    /// Changes that the targets were taken from, and when.
    targets_of: Cell<Option<(u64, ClockTime)>>,
    /// Whether this node collects for any target, as it sees the fleet.
    collects: Cell<bool>,
    backlog: Cell<Option<(QueueBacklog, ClockTime)>>,
    names: RefCell<ResultNames>,
}

/// The queues of all stages that this node collects pieces for.
#[derive(Debug, Default)]
pub struct StageDesk {
    queues: RefCell<HashMap<PoolName, Rc<DeskQueue>>>,
}

/// Takes a set back when its request is dropped before its end.
struct SetGuard {
    shared: Shared,
    queue: Rc<DeskQueue>,
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

impl StageDesk {
    /// Produces the pieces of a set, together with those of others.
    pub async fn run(&self, shared: &Shared, ask: StageAsk) -> StageAnswer {
        let Some(queue) = self.queue(shared, &ask.service) else {
            return StageAnswer::Failed {
                reason: "no such stage".to_owned(),
            };
        };
        let now = shared.now();
        queue.update_targets(shared);
        if ask.movable && !queue.collects.get() {
            return queue.moved(shared, &ask.request);
        }
        let set = StageSet {
            pieces: ask.pieces,
            piece_bytes: ask.piece_bytes,
            preferred_zone: ask.home.clone(),
            priority: ask.priority,
            downstream: ask.followers.clone(),
            goal_at: now + ask.goal_left,
            deadline: now + ask.dead_left,
            refusable: ask.refusable,
            movable: ask.movable,
        };
        let offered = queue.queue.borrow_mut().offer(set, now);
        let backlog = queue.backlog(now);
        let waiting = queue.queue.borrow().waiting_pieces();
        let number = match offered {
            Ok(number) => number,
            Err(refusal) => {
                slog::info!(shared.log, "stage: Set refused.";
                    "request" => &ask.request, "service" => %ask.service, "stage" => ask.stage,
                    "pieces" => ask.pieces, "waiting_pieces" => waiting, "backlog" => %backlog.on_time, "total_backlog" => %backlog.total,
                    "dead_left" => %ask.dead_left, "retry_after" => %refusal.retry_after);
                return StageAnswer::Refused {
                    retry_after: refusal.retry_after,
                    backlog,
                };
            }
        };
        slog::info!(shared.log, "stage: Set queued.";
            "request" => &ask.request, "service" => %ask.service, "stage" => ask.stage,
            "set" => number.0, "pieces" => ask.pieces, "waiting_pieces" => waiting,
            "backlog" => %backlog.on_time, "total_backlog" => %backlog.total, "goal_left" => %ask.goal_left);
        let (done, result) = async_channel::bounded(1);
        let ask = Rc::new(ask);
        queue.waiters.borrow_mut().insert(
            number,
            SetWaiter {
                ask: Rc::clone(&ask),
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
            Ok(Err(SetFailure::Moved)) => queue.moved(shared, &ask.request),
            Ok(Err(failure)) => StageAnswer::Failed {
                reason: format!("{failure:?}"),
            },
            Err(_) => StageAnswer::Failed {
                reason: "queue ended".to_owned(),
            },
        }
    }

    /// Takes note that results are no longer needed, and tells their makers.
    pub fn free(&self, shared: &Shared, note: FreeNote) {
        let queue = self.queues.borrow().get(&note.service).map(Rc::clone);
        match queue {
            Some(queue) => queue.free(shared, note.names),
            // Another node has collected them; their makers are told all the
            // same.
            None => shared
                .results
                .tell_makers(shared, &note.service, note.names),
        }
    }

    /// Has all queues look at once whether this node still collects.
    pub fn review(&self) {
        for queue in self.queues.borrow().values() {
            queue.wake();
        }
    }

    /// Takes note that results have left their makers.
    pub(super) fn release(&self, service: &PoolName, names: &[String]) {
        let queue = self.queues.borrow().get(service).map(Rc::clone);
        if let Some(queue) = queue {
            queue.queue.borrow_mut().free(names);
            queue.wake();
        }
    }

    fn queue(&self, shared: &Shared, service: &PoolName) -> Option<Rc<DeskQueue>> {
        let spec = shared.config()?.stage_service(service)?;
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_insert_with(|| {
            Rc::new(DeskQueue {
                service: service.clone(),
                queue: RefCell::new(StageQueue::new(spec)),
                waiters: RefCell::default(),
                wake: async_channel::bounded(1),
                is_driven: Cell::new(false),
                targets_of: Cell::new(None),
                collects: Cell::new(false),
                backlog: Cell::new(None),
                names: RefCell::default(),
            })
        });
        queue.queue.borrow_mut().set_service(spec);
        if !queue.is_driven.replace(true) {
            let (driven, shared_task) = (Rc::clone(queue), Shared::clone(shared));
            shared
                .tasks
                .spawn(async move { driven.drive(shared_task).await });
        }
        Some(Rc::clone(queue))
    }
}

impl DeskQueue {
    /// Makes calls as the queue plans them, until the task is dropped.
    async fn drive(self: Rc<Self>, shared: Shared) {
        loop {
            self.update_targets(&shared);
            let now = shared.now();
            self.update_clogged(&shared, now);
            let late = self.queue.borrow_mut().shed(now);
            self.deliver(&shared, late);
            loop {
                let planned = self.queue.borrow_mut().plan(now);
                let Some(call) = planned else { break };
                let run = StageCallRun::new(Rc::clone(&self), call);
                let shared_task = Shared::clone(&shared);
                shared
                    .tasks
                    .spawn(async move { run.run(&shared_task).await });
            }
            let next = self.queue.borrow().next_wakeup(now);
            let woken = async {
                // The sender lives as long as the queue.
                let _ = self.wake.1.recv().await;
            };
            match next {
                None => woken.await,
                Some(time) => {
                    let wait = Duration::from(now.until(time)).max(LEAST_WAIT);
                    let timer = async {
                        Timer::after(wait).await;
                    };
                    woken.or(timer).await;
                }
            }
        }
    }

    /// What waits, as of some milliseconds ago at most.
    fn backlog(&self, now: ClockTime) -> QueueBacklog {
        let known = self.backlog.get();
        if let Some((backlog, at)) = known
            && now.since(at) < BACKLOG_LIFETIME
        {
            return backlog;
        }
        let backlog = self.queue.borrow().backlog(now);
        self.backlog.set(Some((backlog, now)));
        backlog
    }

    /// Takes in the end of a call.
    pub(super) fn finish(&self, shared: &Shared, call: CallNumber, end: CallEnd) {
        let now = shared.now();
        let done = self.queue.borrow_mut().finish(call, end, now);
        self.deliver(shared, done);
        self.wake();
    }

    /// Gives up results that are no longer needed.
    pub(super) fn free(&self, shared: &Shared, names: Vec<String>) {
        if names.is_empty() {
            return;
        }
        shared.results.tell_makers(shared, &self.service, names);
    }

    /// Whether an answer is the one to its own call: none of its results was
    /// named before.
    pub(super) fn is_own_answer(&self, ends: &[PieceEnd]) -> bool {
        let names = ends.iter().filter_map(|end| match end {
            PieceEnd::Held(name) => Some(name.as_str()),
            _ => None,
        });
        self.names.borrow_mut().try_insert(names)
    }

    /// What a set was asked for, unless its request is gone.
    pub(super) fn ask_of(&self, set: SetNumber) -> Option<Rc<StageAsk>> {
        let waiters = self.waiters.borrow();
        waiters.get(&set).map(|waiter| Rc::clone(&waiter.ask))
    }

    /// Name of the service.
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
                            "request" => &waiter.ask.request, "service" => %self.service,
                            "stage" => waiter.ask.stage, "reason" => ?failure);
                    }
                    // The receiver is gone with its request; nothing to tell.
                    let _ = waiter.done.try_send(outcome);
                }
                (None, Ok(results)) => self.free(shared, results),
                (None, Err(_)) => {}
            }
        }
    }

    fn wake(&self) {
        // A full channel means that a wake-up is already on its way.
        let _ = self.wake.0.try_send(());
    }

    /// Takes over which of the stages after this one have a backlog, as their
    /// collectors said last.
    fn update_clogged(&self, shared: &Shared, now: ClockTime) {
        let followers = self.queue.borrow().downstream_services();
        let clogged = followers.into_iter().filter(|service| {
            let backlog = shared.stages.backlog(service, now);
            let spec = shared
                .config()
                .and_then(|config| config.stage_service(service));
            spec.is_some_and(|spec| backlog.total > spec.backlog_limit())
        });
        let clogged = clogged.collect();
        self.queue.borrow_mut().set_backlogged(clogged);
    }

    /// Takes over the targets that this node collects for. A node that collects
    /// no longer hands over what it has not begun and finishes the rest with the
    /// targets that it had; one that was asked though it never had any uses all.
    fn update_targets(&self, shared: &Shared) {
        let now = shared.now();
        let changes = shared.change_count.get();
        let is_known = self
            .targets_of
            .get()
            .is_some_and(|(known, at)| known == changes && now.since(at) < TARGETS_LIFETIME);
        if is_known {
            return;
        }
        self.targets_of.set(Some((changes, now)));
        let targets = shared.ready_targets(&self.service);
        let shards = shared.stages.shards(shared, &self.service);
        let mut owned = shards.targets_of(&shared.profile.node);
        self.collects.set(!owned.is_empty());
        if owned.is_empty() {
            self.hand_over(shared);
            let queue = self.queue.borrow();
            let had = targets.iter().filter(|record| queue.may_call(&record.id));
            owned = had.map(|record| record.id.clone()).collect();
        }
        // Asked though it never collected: the targets of one collector.
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

    /// Tells the requests of which nothing was begun that another node collects.
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

    /// Answers that another node collects for the service.
    fn moved(&self, shared: &Shared, request: &str) -> StageAnswer {
        let shards = shared.stages.shards(shared, &self.service);
        let owner = shards.owner_of_request(request).cloned();
        let stopping = shared.stopping.get();
        slog::info!(shared.log, "stage: Asked for another collector's work.";
            "request" => request, "service" => %self.service,
            "collector" => owner.as_ref().map(ToString::to_string), "stopping" => stopping);
        StageAnswer::Moved { owner, stopping }
    }
}

impl StageAnswer {
    /// What waits at the collector, if it said so.
    #[must_use]
    pub const fn backlog(&self) -> Option<QueueBacklog> {
        match self {
            Self::Done { backlog, .. } | Self::Refused { backlog, .. } => Some(*backlog),
            Self::Moved { .. } | Self::Failed { .. } => None,
        }
    }
}
