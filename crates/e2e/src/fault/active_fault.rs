use verbenahub_core::ids::RevisionNumber;
use verbenahub_standins::server::FaultSpec;

use super::FaultKind;
use crate::{
    caller::{CallerGroup, SamplePipeline, SentRequest},
    cluster::RunningCluster,
    network::RelayMode,
};

/// Callers of each pipeline in a burst.
const BURST_CALLERS: usize = 8;
/// How much slower a slow replica is.
const SLOW_FACTOR: f64 = 30.0;
/// Share of calls that a failing replica fails.
const FAIL_SHARE: f64 = 0.5;
/// Revision that a stale configuration service shows.
const STALE_REVISION: u64 = 2;

/// A fault in force.
#[derive(Debug)]
pub struct ActiveFault {
    kind: FaultKind,
    node: usize,
    target: usize,
    burst: Option<CallerGroup>,
}

impl ActiveFault {
    /// Puts a fault into a cluster, at a node and a target.
    pub fn apply(
        kind: FaultKind,
        cluster: &mut RunningCluster,
        node: usize,
        target: usize,
        label: &str,
    ) -> Self {
        let mut fault = Self {
            kind,
            node,
            target,
            burst: None,
        };
        fault.begin(cluster, label);
        fault
    }

    fn begin(&mut self, cluster: &mut RunningCluster, label: &str) {
        match self.kind {
            FaultKind::KillNode => cluster.nodes[self.node].kill(),
            FaultKind::PauseNode if cluster.nodes[self.node].is_started() => {
                cluster.nodes[self.node].guard().pause();
            }
            FaultKind::PauseNode => {}
            FaultKind::CutTarget => self.set_target(cluster, RelayMode::Cut),
            FaultKind::HoldTarget => self.set_target(cluster, RelayMode::Hold),
            FaultKind::SilentTarget => cluster.targets[self.target].relay.silence_open(),
            FaultKind::HoldPlatform => self.set_platform(cluster, RelayMode::Hold),
            FaultKind::ConfigDown => cluster.config.set_down(true),
            FaultKind::ConfigStale => cluster
                .config
                .set_stale(RevisionNumber::new(STALE_REVISION)),
            FaultKind::SlowReplica => cluster.targets[self.target].standin.fault(FaultSpec {
                slow_factor: Some(SLOW_FACTOR),
                ..FaultSpec::default()
            }),
            FaultKind::FailingReplica => cluster.targets[self.target].standin.fault(FaultSpec {
                fail_share: Some(FAIL_SHARE),
                fail_after_run_share: Some(FAIL_SHARE),
                ..FaultSpec::default()
            }),
            FaultKind::Burst => self.burst = Some(start_burst(cluster, label)),
        }
    }

    /// Heals the fault; gives the requests of a burst.
    #[must_use]
    pub fn heal(mut self, cluster: &mut RunningCluster) -> Vec<SentRequest> {
        match self.kind {
            FaultKind::KillNode => cluster.nodes[self.node].restart(),
            FaultKind::PauseNode if cluster.nodes[self.node].is_started() => {
                cluster.nodes[self.node].guard().resume();
            }
            FaultKind::PauseNode | FaultKind::SilentTarget | FaultKind::Burst => {}
            FaultKind::CutTarget | FaultKind::HoldTarget => {
                self.set_target(cluster, RelayMode::Pass);
            }
            FaultKind::HoldPlatform => self.set_platform(cluster, RelayMode::Pass),
            FaultKind::ConfigDown => cluster.config.set_down(false),
            FaultKind::ConfigStale => cluster.config.set_fresh(),
            FaultKind::SlowReplica | FaultKind::FailingReplica => {
                cluster.targets[self.target].standin.clear();
            }
        }
        self.burst.take().map_or_else(Vec::new, CallerGroup::stop)
    }

    fn set_target(&self, cluster: &RunningCluster, mode: RelayMode) {
        cluster.targets[self.target].relay.set_mode(mode);
    }

    fn set_platform(&self, cluster: &RunningCluster, mode: RelayMode) {
        let node = &cluster.nodes[self.node];
        node.config_relay.set_mode(mode);
        node.membership_relay.set_mode(mode);
    }
}

fn start_burst(cluster: &RunningCluster, label: &str) -> CallerGroup {
    let balancer = cluster.balancer();
    let label = format!("{label}/burst");
    CallerGroup::start(&label, &balancer, &SamplePipeline::ALL, BURST_CALLERS)
}
