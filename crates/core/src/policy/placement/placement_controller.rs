use std::{collections::BTreeMap, sync::Arc};

use super::{
    DesiredEngineState, OrderOutcome, PlacementAction, PlacementPlan,
    engine_tracker::{EngineTracker, TrackerPhase},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, TargetId},
    policy::limits::OwnerView,
    protocol::{EngineOrder, EngineState, OrderCall},
};

/// Time after which an order is given up. A new owner waits as long before
/// its first order, so that orders of the previous one have ended.
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Time after which a read of an engine's state is given up.
const READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Interval between reads of an engine that holds what it should.
const SETTLED_READ_INTERVAL: TimeSpan = TimeSpan::from_secs(10);
/// Interval between reads of an engine that is loading or that waits for the
/// loads of other engines.
const BUSY_READ_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Time for which an engine keeps a model that has moved to other engines.
const UNLOAD_DELAY: TimeSpan = TimeSpan::from_secs(60);
/// Maximum number of concurrent loads ordered by one node, to limit the load on
/// the weight store.
const CONCURRENT_LOAD_LIMIT: usize = 2;

/// Decides on the orders for the engines that this node owns.
///
/// An older order never overrides a newer one: a plan is only replaced by one of
/// the same or a higher revision, the engine's state is read right before each
/// order, no order goes to an engine that has seen a higher fencing token, and a
/// new owner waits until orders of the previous one have ended. The fencing token
/// of an order is the revision of the plan. On engines that check it, this holds
/// even when two nodes consider themselves the owner at the same time.
#[derive(Debug)]
pub struct PlacementController {
    node: NodeId,
    plan: Arc<PlacementPlan>,
    trackers: BTreeMap<TargetId, EngineTracker>,
}

impl PlacementController {
    /// Creates the controller of a node that has just started.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            plan: Arc::default(),
            trackers: BTreeMap::new(),
        }
    }

    /// Updates the plan and the engines that this node owns. A plan of a lower
    /// revision than the current one is ignored.
    pub fn update_plan(&mut self, plan: Arc<PlacementPlan>, view: &OwnerView, now: ClockTime) {
        if plan.revision() >= self.plan.revision() {
            self.plan = plan;
        }
        let node = Some(&self.node);
        let plan = &self.plan;
        self.trackers.retain(|target, _| {
            plan.desired_state(target).is_some() && view.target_owner(target) == node
        });
        for target in plan.targets() {
            if view.target_owner(target) == node {
                let tracker = self.trackers.entry(target.clone());
                tracker.or_insert_with(|| EngineTracker::new(now + ORDER_TIMEOUT));
            }
        }
    }

    /// Returns the engines to read, and gives up reads and orders that have timed
    /// out.
    pub fn tick(&mut self, now: ClockTime) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for (target, tracker) in &mut self.trackers {
            match tracker.phase {
                TrackerPhase::Reading(until) | TrackerPhase::Ordering(until) if now >= until => {
                    tracker.back_off(now);
                }
                TrackerPhase::Idle if now >= tracker.next_read => {
                    tracker.phase = TrackerPhase::Reading(now + READ_TIMEOUT);
                    actions.push(PlacementAction::ReadState(target.clone()));
                }
                _ => {}
            }
        }
        actions
    }

    /// Handles the state read from an engine. Returns the order to send, if any.
    pub fn handle_state(
        &mut self,
        target: &TargetId,
        state: &EngineState,
        now: ClockTime,
    ) -> Option<PlacementAction> {
        let loading = self.trackers.iter();
        let loading = loading.filter(|(other, tracker)| tracker.loading && *other != target);
        let may_load = loading.count() < CONCURRENT_LOAD_LIMIT;
        let plan = Arc::clone(&self.plan);
        let desired = plan.desired_state(target)?;
        let tracker = self.trackers.get_mut(target)?;
        if !matches!(tracker.phase, TrackerPhase::Reading(until) if now < until) {
            return None;
        }
        tracker.reset_failures();
        tracker.loading = !state.loading.is_empty();
        if tracker.loading || state.fence > plan.revision() {
            tracker.schedule_read(BUSY_READ_INTERVAL, now);
            return None;
        }
        let Some(order) = next_order(tracker, desired, state, now) else {
            tracker.schedule_read(SETTLED_READ_INTERVAL, now);
            return None;
        };
        if matches!(order, EngineOrder::LoadModel { .. }) && !may_load {
            tracker.schedule_read(BUSY_READ_INTERVAL, now);
            return None;
        }
        let not_after = now + ORDER_TIMEOUT;
        tracker.start_order(&order, not_after);
        let fence = plan.revision();
        Some(PlacementAction::SendOrder {
            target: target.clone(),
            call: OrderCall { fence, order },
            not_after,
        })
    }

    /// Handles a failed read of an engine's state.
    pub fn handle_read_failure(&mut self, target: &TargetId, now: ClockTime) {
        if let Some(tracker) = self.trackers.get_mut(target)
            && matches!(tracker.phase, TrackerPhase::Reading(_))
        {
            tracker.back_off(now);
        }
    }

    /// Handles the outcome of an order. The engine's state is read again before the
    /// next order.
    pub fn handle_order_outcome(
        &mut self,
        target: &TargetId,
        outcome: OrderOutcome,
        now: ClockTime,
    ) {
        let Some(tracker) = self.trackers.get_mut(target) else {
            return;
        };
        if !matches!(tracker.phase, TrackerPhase::Ordering(_)) {
            return;
        }
        match outcome {
            OrderOutcome::Taken => tracker.schedule_read(TimeSpan::ZERO, now),
            OrderOutcome::Stale | OrderOutcome::Failed => tracker.back_off(now),
        }
    }

    /// The engines that this node owns.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.trackers.keys()
    }
}

/// The next order for an engine. Loads come first. A model that has moved is
/// unloaded after a delay, so that its new engines hold it before.
fn next_order(
    tracker: &mut EngineTracker,
    desired: &DesiredEngineState,
    state: &EngineState,
    now: ClockTime,
) -> Option<EngineOrder> {
    if let Some(load) = desired.next_load(state) {
        return Some(load);
    }
    let Some(model) = desired.unwanted_model(state) else {
        tracker.unwanted_since = None;
        return None;
    };
    let since = *tracker.unwanted_since.get_or_insert(now);
    (now.since(since) >= UNLOAD_DELAY).then(|| EngineOrder::UnloadModel {
        model: model.clone(),
    })
}
