use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use async_channel::Sender;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::PoolName,
    policy::{
        WorkspaceHash,
        admission::{
            AdmissionAction, AdmissionController, AdmissionDecision, AdmissionId, AdmissionMode,
            AdmissionRule, PoolIndex, RequestArrival, RequestRefusal, SlotStatus, StageDemand,
            StartDecision,
        },
        routing::{RouteObjective, TargetMap},
    },
    records::{PipelineRecord, RecordObjective, StageSpec},
};

use super::{LoadView, PipelineFlights, StageBook};

/// Time assumed for a stage that was never run.
const UNKNOWN_TIME: TimeSpan = TimeSpan::from_millis(20);
/// Share of the calls that end within the planned time, when attainment counts
/// most.
const ATTAINMENT_SHARE: f64 = 0.75;
/// The same when cost counts most: work that may come too late is not begun.
const COST_SHARE: f64 = 0.9;

/// Admits the requests of this node and hands out the slots of the pools.
#[derive(Debug)]
pub struct AdmissionDesk {
    book: StageBook,
    flights: PipelineFlights,
    state: Mutex<DeskState>,
}

#[derive(Debug)]
struct DeskState {
    machine: AdmissionController,
    pools: HashMap<PoolName, DeskPool>,
    waiting: HashMap<AdmissionId, Sender<SlotWait>>,
    actions: Vec<AdmissionAction>,
}

#[derive(Clone, Copy, Debug)]
struct DeskPool {
    number: PoolIndex,
    view: LoadView,
}

/// State of the slots of one pool.
#[derive(Clone, Debug)]
pub struct PoolGate {
    /// The pool.
    pub pool: PoolName,
    /// Its slots.
    pub status: SlotStatus,
}

/// How the wait for a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotWait {
    /// The call holds a slot.
    Started,
    /// The call could not end in time any more.
    Expired,
}

impl AdmissionDesk {
    /// Creates a desk that takes at most `entry_limit` requests at once.
    #[must_use]
    pub fn new(mode: AdmissionMode, entry_limit: usize) -> Self {
        let rule = AdmissionRule {
            mode,
            request_limit: entry_limit,
            ..AdmissionRule::default()
        };
        Self {
            book: StageBook::default(),
            flights: PipelineFlights::default(),
            state: Mutex::new(DeskState {
                machine: AdmissionController::new(rule),
                pools: HashMap::new(),
                waiting: HashMap::new(),
                actions: Vec::new(),
            }),
        }
    }

    /// The learned times of the stages.
    #[must_use]
    pub const fn book(&self) -> &StageBook {
        &self.book
    }

    /// The requests in flight by pipeline.
    #[must_use]
    pub const fn flights(&self) -> &PipelineFlights {
        &self.flights
    }

    /// Answers an arrival at once.
    ///
    /// # Errors
    ///
    /// Fails when the request is not thought to finish in time.
    pub fn arrive(
        &self,
        workspace: WorkspaceHash,
        pipeline: &PipelineRecord,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<AdmissionId, RequestRefusal> {
        let mut state = self.lock();
        let stages = pipeline.stages.iter();
        let demands: Vec<StageDemand> = stages
            .map(|stage| state.demand(&self.book, pipeline, stage))
            .collect();
        let arrival = RequestArrival {
            workspace,
            deadline,
            stages: &demands,
        };
        match state.machine.admit(&arrival, now) {
            AdmissionDecision::Admitted(entry) => Ok(entry),
            AdmissionDecision::Refused(refusal) => Err(refusal),
        }
    }

    /// Asks for a slot for the present stage. An answer that is not `Started`
    /// or `Expired` comes through `waiter`.
    pub fn start(
        &self,
        entry: AdmissionId,
        waiter: Sender<SlotWait>,
        now: ClockTime,
    ) -> StartDecision {
        let mut state = self.lock();
        let answer = state.machine.start(entry, now);
        if answer == StartDecision::Waiting {
            state.waiting.insert(entry, waiter);
        }
        answer
    }

    /// Ends the call of the present stage.
    pub fn finish(&self, entry: AdmissionId, took: TimeSpan, now: ClockTime) {
        let mut state = self.lock();
        state.with_actions(|machine, actions| machine.finish(entry, took, now, actions));
    }

    /// Ends a request and gives back all that it holds.
    pub fn leave(&self, entry: AdmissionId, now: ClockTime) {
        let mut state = self.lock();
        state.waiting.remove(&entry);
        state.with_actions(|machine, actions| machine.remove(entry, now, actions));
    }

    /// Follows the load of all pools, which `nodes` nodes share. To be called about every 100 ms.
    pub fn update(&self, map: &TargetMap, nodes: usize, now: ClockTime) {
        for (name, pool) in map.pools() {
            let view = LoadView::of(pool, nodes, now);
            let mut state = self.lock();
            let number = state.set_view(name, view);
            state.with_actions(|machine, actions| {
                machine.update(number, &view.load, now, actions);
            });
        }
    }

    /// State of the slots of all pools.
    #[must_use]
    pub fn gates(&self) -> Vec<PoolGate> {
        let state = self.lock();
        let pools = state.pools.iter();
        pools
            .filter_map(|(name, pool)| {
                let status = state.machine.status(pool.number)?;
                Some(PoolGate {
                    pool: name.clone(),
                    status,
                })
            })
            .collect()
    }

    /// Load of a pool at the last update.
    #[must_use]
    pub fn view(&self, pool: &PoolName) -> LoadView {
        let state = self.lock();
        let known = state.pools.get(pool);
        known.map_or_else(LoadView::default, |pool| pool.view)
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DeskState {
    fn demand(
        &mut self,
        book: &StageBook,
        pipeline: &PipelineRecord,
        stage: &StageSpec,
    ) -> StageDemand {
        let pool = self.pool(&stage.pool);
        let times = book.times(&pipeline.name, &stage.name);
        let share = planned_share(pipeline);
        StageDemand {
            pool: pool.number,
            time: times.time(share, pool.view.use_share, UNKNOWN_TIME),
            work: times.work(UNKNOWN_TIME),
        }
    }

    fn pool(&mut self, name: &PoolName) -> DeskPool {
        if let Some(pool) = self.pools.get(name) {
            return *pool;
        }
        let pool = DeskPool {
            number: self.machine.add_pool(),
            view: LoadView::default(),
        };
        self.pools.insert(name.clone(), pool);
        pool
    }

    fn set_view(&mut self, name: &PoolName, view: LoadView) -> PoolIndex {
        let number = self.pool(name).number;
        self.pools.insert(name.clone(), DeskPool { number, view });
        number
    }

    /// Runs the machine and tells the calls that it has decided on.
    fn with_actions<Step>(&mut self, step: Step)
    where
        Step: FnOnce(&mut AdmissionController, &mut Vec<AdmissionAction>),
    {
        step(&mut self.machine, &mut self.actions);
        for action in self.actions.drain(..) {
            let (entry, wait) = match action {
                AdmissionAction::Start(entry) => (entry, SlotWait::Started),
                AdmissionAction::Expire(entry) => (entry, SlotWait::Expired),
            };
            if let Some(waiter) = self.waiting.remove(&entry) {
                // A request that has gone away leaves on its own.
                let _ = waiter.try_send(wait);
            }
        }
    }
}

fn planned_share(pipeline: &PipelineRecord) -> f64 {
    match route_objective(pipeline.objective) {
        RouteObjective::Attainment => ATTAINMENT_SHARE,
        RouteObjective::Cost => COST_SHARE,
    }
}

/// The objective of a record as routing weighs it.
#[must_use]
pub const fn route_objective(objective: RecordObjective) -> RouteObjective {
    match objective {
        RecordObjective::Attainment => RouteObjective::Attainment,
        RecordObjective::Cost => RouteObjective::Cost,
    }
}
