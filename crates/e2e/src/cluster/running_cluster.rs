use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use tempfile::TempDir;
use verbenahub_core::{ids::RevisionNumber, protocol::VmState};
use verbenahub_standins::service::LedgerEntry;

use super::{ClusterPlan, FeedProcess, NodeProcess, SampleRecord, TargetPool, TargetProcess};
use crate::{
    caller::{NodeBalancer, PipelineCaller, SamplePipeline},
    poll_until,
};

/// Zones that nodes and targets are spread over.
const ZONES: [&str; 3] = ["south-a", "south-b", "south-c"];
/// Longest that a probe waits for its answer.
const PROBE_LIMIT: Duration = Duration::from_secs(6);
/// Lines of each node's log that a failed test prints.
const TAIL_LINES: usize = 60;

/// A running cluster. All its processes end with it.
#[derive(Debug)]
pub struct RunningCluster {
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    /// The targets.
    pub targets: Vec<TargetProcess>,
    /// The configuration service.
    pub config: FeedProcess,
    /// The membership list.
    pub membership: FeedProcess,
    _directory: TempDir,
    serves: Vec<SamplePipeline>,
    probes: AtomicUsize,
}

impl RunningCluster {
    /// Starts a cluster and waits until all nodes take requests.
    ///
    /// # Panics
    ///
    /// Panics when it does not start.
    #[must_use]
    pub fn start(plan: &ClusterPlan) -> Self {
        let directory = TempDir::new().expect("a directory for settings");
        let config = FeedProcess::start_config();
        let membership = FeedProcess::start_membership(plan.membership_lag_ms);
        let targets = start_targets(plan);
        let ways = (config.standin.address, membership.standin.address);
        let nodes = (0..plan.nodes)
            .map(|index| {
                let zone = ZONES[index % ZONES.len()];
                let id = format!("node-{}", index + 1);
                NodeProcess::new(&id, zone, directory.path(), ways.0, ways.1)
            })
            .collect();
        let mut cluster = Self {
            nodes,
            targets,
            config,
            membership,
            _directory: directory,
            serves: plan.serves.clone(),
            probes: AtomicUsize::new(0),
        };
        cluster.publish_all();
        cluster.start_nodes(&plan.extra_settings);
        cluster.wait_ready();
        cluster.wait_serving();
        cluster
    }

    fn publish_all(&self) {
        for record in SampleRecord::ALL {
            let _ = self.config.publish(&record.text());
        }
        for target in &self.targets {
            let entry = target.entry(VmState::Live);
            self.membership.publish_vm(&target.id, &entry);
        }
        for node in &self.nodes {
            let entry = node.entry(VmState::Live);
            self.membership.publish_vm(&node.id, &entry);
        }
    }

    fn start_nodes(&mut self, extra: &str) {
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.internal).collect();
        for node in &mut self.nodes {
            let others: Vec<SocketAddr> = seeds
                .iter()
                .copied()
                .filter(|seed| *seed != node.internal)
                .collect();
            node.write_settings(&others, extra);
            node.start();
        }
    }

    /// Waits until all nodes that run take requests.
    pub fn wait_ready(&self) {
        for node in self.nodes.iter().filter(|node| node.is_started()) {
            let what = format!("{} is ready", node.id);
            poll_until(&what, || node.is_ready().then_some(()));
        }
    }

    /// Waits until all nodes that run answer the pipelines of the plan whole.
    pub fn wait_serving(&self) {
        for node in self.nodes.iter().filter(|node| node.is_started()) {
            for pipeline in &self.serves {
                self.wait_whole(node, *pipeline);
            }
        }
    }

    fn wait_whole(&self, node: &NodeProcess, pipeline: SamplePipeline) {
        let what = format!("{} answers {}", node.id, pipeline.name());
        poll_until(&what, || {
            let number = self.probes.fetch_add(1, Ordering::Relaxed);
            let body = format!("probe {number}").into_bytes();
            let caller = PipelineCaller::new(node.public).limit(PROBE_LIMIT);
            let verdict = caller.call(pipeline, &body);
            let whole = verdict.whole()?;
            assert!(
                whole == pipeline.expected(&body),
                "wrong answer: {verdict:?}"
            );
            Some(())
        });
    }

    /// Waits until all nodes that run hold a revision of the configuration.
    pub fn wait_config(&self, revision: RevisionNumber) {
        for node in self.nodes.iter().filter(|node| node.is_started()) {
            let what = format!("{} holds revision {revision}", node.id);
            poll_until(&what, || {
                let status = node.status()?;
                (status.config.revision >= revision).then_some(())
            });
        }
    }

    /// A balancer over all nodes.
    #[must_use]
    pub fn balancer(&self) -> Arc<NodeBalancer> {
        let nodes = self.nodes.iter().map(|node| node.public).collect();
        Arc::new(NodeBalancer::new(nodes))
    }

    /// The targets of a pool.
    pub fn pool(&self, pool: TargetPool) -> impl Iterator<Item = &TargetProcess> {
        self.targets
            .iter()
            .filter(move |target| target.pool == pool)
    }

    /// The ledgers of all booking replicas, when no call is in execution.
    #[must_use]
    pub fn bookings(&self) -> Vec<LedgerEntry> {
        poll_until("the bookings have ended", || {
            let entries: Vec<LedgerEntry> = self
                .pool(TargetPool::Booking)
                .flat_map(TargetProcess::ledger)
                .collect();
            let settled = entries.iter().all(|entry| entry.state.is_settled());
            settled.then_some(entries)
        })
    }
}

fn start_targets(plan: &ClusterPlan) -> Vec<TargetProcess> {
    let mut targets = Vec::new();
    for pool in TargetPool::ALL {
        let extra = plan.arguments_of(pool);
        for index in 0..plan.replicas {
            let id = format!("{}-{}", pool.name(), index + 1);
            let zone = ZONES[index % ZONES.len()];
            targets.push(TargetProcess::start(&id, pool, zone, &extra));
        }
    }
    targets
}

impl Drop for RunningCluster {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for node in &self.nodes {
            eprintln!("--- {}\n{}", node.id, node.log_tail(TAIL_LINES));
        }
    }
}
