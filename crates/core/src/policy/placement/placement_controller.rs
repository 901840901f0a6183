use std::{collections::BTreeMap, sync::Arc};

use super::{
    DesiredEngineState, OrderOutcome, PlacementAction, PlacementPlan,
    engine_tracker::{EngineTracker, TrackPhase},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, TargetId},
    policy::limits::OwnerView,
    protocol::{EngineOrder, EngineState, OrderCall},
};

/// Life of an order. A new home waits as long before its first order.
const ORDER_LIFE: TimeSpan = TimeSpan::from_secs(5);
/// Time for a read of an engine's state.
const READ_LIFE: TimeSpan = TimeSpan::from_secs(2);
/// Time between two reads of an engine that holds what is wanted.
const SETTLED_DELAY: TimeSpan = TimeSpan::from_secs(10);
/// Time between two reads of an engine that loads, or must wait for others.
const BUSY_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// Time for which an engine keeps a model that has moved to another.
const SURPLUS_LIFE: TimeSpan = TimeSpan::from_secs(60);
/// Loads that one node has under way at once, to spare the weight store.
const LOAD_LIMIT: usize = 2;

/// Sends orders to the engines whose home this node is.
///
/// An older order never overrides a newer one: a plan is only followed
/// upwards, the engine's state is read right before each order, no order goes
/// to an engine that has seen a higher number, and a new home waits out the
/// orders of the one before. On engines that check the number, it holds even
/// when homes overlap.
#[derive(Debug)]
pub struct PlacementController {
    own: NodeId,
    plan: Arc<PlacementPlan>,
    tracks: BTreeMap<TargetId, EngineTracker>,
}

impl PlacementController {
    /// Creates the machine of a node that has just started.
    #[must_use]
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            plan: Arc::default(),
            tracks: BTreeMap::new(),
        }
    }

    /// Follows the records and the live nodes. A plan of a lower revision than
    /// the present one is ignored.
    pub fn update_plan(&mut self, plan: Arc<PlacementPlan>, view: &OwnerView, now: ClockTime) {
        if plan.revision() >= self.plan.revision() {
            self.plan = plan;
        }
        let own = Some(&self.own);
        let plan = &self.plan;
        self.tracks
            .retain(|target, _| plan.engine(target).is_some() && view.target_owner(target) == own);
        for target in plan.targets() {
            if view.target_owner(target) == own {
                let track = self.tracks.entry(target.clone());
                track.or_insert_with(|| EngineTracker::new(now + ORDER_LIFE));
            }
        }
    }

    /// Says which engines to read, and gives up what has taken too long.
    pub fn tick(&mut self, now: ClockTime) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for (target, track) in &mut self.tracks {
            match track.phase {
                TrackPhase::Reading(until) | TrackPhase::Ordering(until) if now >= until => {
                    track.fail(now);
                }
                TrackPhase::Idle if now >= track.next_read => {
                    track.phase = TrackPhase::Reading(now + READ_LIFE);
                    actions.push(PlacementAction::ReadState(target.clone()));
                }
                _ => {}
            }
        }
        actions
    }

    /// Takes in the state of an engine that was asked for, and says what to
    /// order.
    pub fn handle_state(
        &mut self,
        target: &TargetId,
        state: &EngineState,
        now: ClockTime,
    ) -> Option<PlacementAction> {
        let loads = self.tracks.iter();
        let loads = loads.filter(|(other, track)| track.loading && *other != target);
        let may_load = loads.count() < LOAD_LIMIT;
        let plan = Arc::clone(&self.plan);
        let wanted = plan.engine(target)?;
        let track = self.tracks.get_mut(target)?;
        if !matches!(track.phase, TrackPhase::Reading(until) if now < until) {
            return None;
        }
        track.succeed();
        track.loading = !state.loading.is_empty();
        if track.loading || state.fence > plan.revision() {
            track.rest(BUSY_DELAY, now);
            return None;
        }
        let Some(order) = next_order(track, wanted, state, now) else {
            track.rest(SETTLED_DELAY, now);
            return None;
        };
        if matches!(order, EngineOrder::LoadModel { .. }) && !may_load {
            track.rest(BUSY_DELAY, now);
            return None;
        }
        let not_after = now + ORDER_LIFE;
        track.order(&order, not_after);
        let fence = plan.revision();
        Some(PlacementAction::SendOrder {
            target: target.clone(),
            call: OrderCall { fence, order },
            not_after,
        })
    }

    /// Takes in that a read has failed.
    pub fn handle_read_failure(&mut self, target: &TargetId, now: ClockTime) {
        if let Some(track) = self.tracks.get_mut(target)
            && matches!(track.phase, TrackPhase::Reading(_))
        {
            track.fail(now);
        }
    }

    /// Takes in the end of an order. The state is read again before the next.
    pub fn handle_order_outcome(
        &mut self,
        target: &TargetId,
        outcome: OrderOutcome,
        now: ClockTime,
    ) {
        let Some(track) = self.tracks.get_mut(target) else {
            return;
        };
        if !matches!(track.phase, TrackPhase::Ordering(_)) {
            return;
        }
        match outcome {
            OrderOutcome::Taken => track.rest(TimeSpan::ZERO, now),
            OrderOutcome::Stale | OrderOutcome::Failed => track.fail(now),
        }
    }

    /// Engines whose home this node is.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.tracks.keys()
    }
}

/// Loads go first. A model that has moved stays for a while, so that its new
/// engines have it before.
fn next_order(
    track: &mut EngineTracker,
    wanted: &DesiredEngineState,
    state: &EngineState,
    now: ClockTime,
) -> Option<EngineOrder> {
    if let Some(load) = wanted.next_load(state) {
        return Some(load);
    }
    let Some(model) = wanted.surplus(state) else {
        track.surplus_since = None;
        return None;
    };
    let since = *track.surplus_since.get_or_insert(now);
    (now.since(since) >= SURPLUS_LIFE).then(|| EngineOrder::UnloadModel {
        model: model.clone(),
    })
}
