use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http_types::{Method, Request, StatusCode, Url};
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::{ClusterView, MemberList},
    ids::{RevisionNumber, TargetId},
    policy::{
        limits::OwnerView,
        placement::{
            CandidateEngine, OrderOutcome, PlacementAction, PlacementController, PlacementPlan,
        },
        routing::TargetVm,
    },
    protocol::{EngineState, OrderCall, paths},
    units::ByteSize,
};

use super::{NodeState, TaskGroup};
use crate::connection::ConnectionChoice;

/// Interval at which the placement of models is followed.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a call to an engine.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Largest answer of an engine.
const ANSWER_LIMIT: ByteSize = ByteSize::from_kib(256);

/// Sends orders to the engines whose home this node is.
#[derive(Clone, Debug)]
struct PlacementDriver {
    node: Arc<NodeState>,
    machine: Arc<Mutex<PlacementController>>,
}

/// What the machine has followed last. Working the plan and the homes out
/// costs a pass over all engines and nodes, so it is done on changes only.
#[derive(Debug)]
struct FollowedState {
    revision: RevisionNumber,
    members: Arc<MemberList>,
}

/// Follows the placement of models until it is cancelled. Calls to engines run
/// as tasks of `calls`.
pub async fn run_placement(node: Arc<NodeState>, calls: TaskGroup) {
    let machine = PlacementController::new(node.settings.node.clone());
    let driver = PlacementDriver {
        node,
        machine: Arc::new(Mutex::new(machine)),
    };
    let mut followed = None;
    loop {
        Timer::after(PLACEMENT_INTERVAL).await;
        // A node that is not ready may believe what was true before.
        if driver.node.unready_reason().is_none() {
            for action in driver.tick(&mut followed) {
                calls.spawn(driver.clone().carry_out(action));
            }
        }
    }
}

impl PlacementDriver {
    fn tick(&self, followed: &mut Option<FollowedState>) -> Vec<PlacementAction> {
        let now = self.node.now();
        let cluster = self.node.cluster.view();
        let current = FollowedState {
            revision: published_revision(&cluster),
            members: Arc::clone(&cluster.members),
        };
        if !followed.as_ref().is_some_and(|last| last.is_same(&current)) {
            self.follow(&current, now);
            *followed = Some(current);
        }
        self.lock().tick(now)
    }

    fn follow(&self, current: &FollowedState, now: ClockTime) {
        let plan = Arc::new(self.plan(current.revision));
        let live = current.members.live.iter();
        let nodes = live.map(|member| member.node.clone());
        let view = OwnerView::new(nodes, current.members.listed);
        self.lock().update_plan(plan, &view, now);
    }

    /// What all engines shall hold by the published data held now.
    fn plan(&self, revision: RevisionNumber) -> PlacementPlan {
        let map = self.node.targets.map();
        let engines: Vec<CandidateEngine> = map.targets().filter_map(placed_engine).collect();
        let models = self.node.config.snapshot().models();
        let records = models.iter().map(|model| model.record.as_ref());
        PlacementPlan::new(revision, records, &engines)
    }

    async fn carry_out(self, action: PlacementAction) {
        match action {
            PlacementAction::ReadState(target) => self.read_state(target).await,
            PlacementAction::SendOrder {
                target,
                call,
                not_after,
            } => self.send_order(target, call, not_after).await,
        }
    }

    async fn read_state(self, target: TargetId) {
        let state = self.fetch_state(&target).await;
        let now = self.node.now();
        let Some(state) = state else {
            return self.lock().handle_read_failure(&target, now);
        };
        self.note_loaded(&target, &state);
        let action = self.lock().handle_state(&target, &state, now);
        if let Some(PlacementAction::SendOrder {
            target,
            call,
            not_after,
        }) = action
        {
            self.send_order(target, call, not_after).await;
        }
    }

    async fn fetch_state(&self, target: &TargetId) -> Option<EngineState> {
        let address = self.address(target)?;
        let path = paths::ENGINE_STATE;
        let url = Url::parse(&format!("http://{address}{path}")).ok()?;
        let call = Request::new(Method::Get, url);
        let clients = &self.node.clients;
        let choice = ConnectionChoice::Reuse;
        let response = clients.call(address, call, choice, CALL_TIMEOUT).await;
        let body = response.ok()?.into_body(ANSWER_LIMIT, CALL_TIMEOUT).await;
        serde_json::from_slice(&body.ok()?).ok()
    }

    async fn send_order(&self, target: TargetId, call: OrderCall, not_after: ClockTime) {
        let outcome = self.post_order(&target, &call, not_after).await;
        slog::info!(self.node.log, "placement: Order sent.";
            "target" => %target, "fence" => %call.fence, "order" => ?call.order,
            "outcome" => ?outcome);
        let now = self.node.now();
        self.lock().handle_order_outcome(&target, outcome, now);
    }

    async fn post_order(
        &self,
        target: &TargetId,
        call: &OrderCall,
        not_after: ClockTime,
    ) -> OrderOutcome {
        let Some(address) = self.address(target) else {
            return OrderOutcome::Failed;
        };
        let path = paths::ORDERS;
        let Ok(url) = Url::parse(&format!("http://{address}{path}")) else {
            return OrderOutcome::Failed;
        };
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_vec(call).unwrap_or_default());
        let clients = &self.node.clients;
        let opened = clients.open(address, ConnectionChoice::Fresh, CALL_TIMEOUT);
        let Ok(connection) = opened.await else {
            return OrderOutcome::Failed;
        };
        // The process may have been paused since the order was decided.
        if self.node.now() >= not_after {
            return OrderOutcome::Failed;
        }
        let sent = clients.exchange(connection, request, CALL_TIMEOUT).await;
        match sent.map(|response| response.status()) {
            Ok(status) if status.is_success() => OrderOutcome::Taken,
            Ok(StatusCode::Conflict) => OrderOutcome::Stale,
            _ => OrderOutcome::Failed,
        }
    }

    fn address(&self, target: &TargetId) -> Option<SocketAddr> {
        let map = self.node.targets.map();
        let mut targets = map.targets();
        targets.find(|vm| vm.target == *target).map(|vm| vm.address)
    }

    /// Lets routing know which models the engine holds.
    fn note_loaded(&self, target: &TargetId, state: &EngineState) {
        let map = self.node.targets.map();
        let Some(vm) = map.targets().find(|vm| vm.target == *target) else {
            return;
        };
        let names = state.models.iter().filter_map(|model| {
            let name = model.split('@').next()?;
            name.parse().ok()
        });
        vm.stats.set_loaded(names.collect());
    }

    fn lock(&self) -> MutexGuard<'_, PlacementController> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FollowedState {
    fn is_same(&self, other: &Self) -> bool {
        self.revision == other.revision && Arc::ptr_eq(&self.members, &other.members)
    }
}

/// Both revisions only rise, so their sum puts all plans in order.
fn published_revision(view: &ClusterView) -> RevisionNumber {
    let config = view.config.version.revision.get();
    let vms = view.vms.version.revision.get();
    RevisionNumber::new(config.saturating_add(vms))
}

fn placed_engine(vm: &Arc<TargetVm>) -> Option<CandidateEngine> {
    if vm.models.is_empty() {
        return None;
    }
    Some(CandidateEngine {
        target: vm.target.clone(),
        pool: vm.pool.clone(),
        models: vm.models.clone(),
        leaving: vm.is_leaving(),
    })
}
