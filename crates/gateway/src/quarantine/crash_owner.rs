use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
};

use smol::lock::Mutex;
use verbenahub_core::{
    clock::TimeSpan,
    fleet::weighted_order,
    ids::NodeId,
    policy::quarantine::{CrashEvidence, EngineRun, PartAnswer, PartKey, QuarantineNotice},
};

use super::{AnswerQuery, AnswerReply, CrashBatch, CrashReply, QuarantineUpdate};
use crate::{
    http::HttpStream,
    peers::{ANSWER_QUERY_PATH, PeerAck, QUARANTINE_PATH},
    process::Shared,
    targets::within,
};

/// Name under which the members are ordered to find the node that decides.
const OWNER_KEY: &str = "prompt-quarantine";
/// Timeout for the replies of all nodes on which parts they have seen answered.
const QUERY_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Timeout for connecting to an engine that may have crashed. A crashed one refuses at
/// once.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);
/// Timeout for telling a node which parts are quarantined. Gossip tells those that
/// don't respond.
const UPDATE_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// Maximum number of nodes that are called at once. In a larger fleet gossip tells
/// the others.
const MAX_CALLED_NODES: usize = 512;

/// Decides which parts of prompts are quarantined, on the node that all others
/// report crashes to.
#[derive(Debug, Default)]
pub struct CrashOwner {
    evidence: RefCell<CrashEvidence>,
    /// Number of batches received.
    received: Cell<u64>,
    /// Number of batches that the last decision considered.
    considered: Cell<u64>,
    /// Held while a decision is made. Batches that arrive meanwhile share the next
    /// one.
    decision: Mutex<()>,
}

impl CrashOwner {
    /// The nodes that take part in shared work, in the order in which they decide for
    /// all nodes: each one if those before it don't respond.
    #[must_use]
    pub fn candidates(shared: &Shared) -> Vec<NodeId> {
        let members = shared.fleet.borrow().eligible_members(shared.now());
        let order = weighted_order(OWNER_KEY, &members).into_iter();
        order.cloned().collect()
    }

    /// Records crashes and decides.
    pub async fn receive(&self, shared: &Shared, batch: &CrashBatch) -> CrashReply {
        let now = shared.now();
        let is_quarantined = |part| shared.quarantine.time_left(&[part], now).is_some();
        for report in &batch.reports {
            self.evidence
                .borrow_mut()
                .record_crash(report, is_quarantined, now);
            slog::info!(shared.log, "quarantine: Crash received.";
                "target" => %report.run.engine, "started_at" => report.run.started_at,
                "age" => %report.age, "parts" => part_list(&report.parts));
        }
        if !batch.reports.is_empty() {
            self.received.set(self.received.get() + 1);
        }
        let wanted = self.received.get();
        let guard = self.decision.lock().await;
        if self.considered.get() < wanted {
            let received = self.received.get();
            self.decide(shared).await;
            self.considered.set(received);
        }
        drop(guard);
        let is_remembered = |part| shared.quarantine.is_remembered(part);
        CrashReply {
            suspects: self.evidence.borrow().suspects(is_remembered),
            quarantine: shared.quarantine.notices(shared.now()),
        }
    }

    /// Asks all nodes which of the suspected parts they have seen answered, and
    /// quarantines the parts that are left with the strongest evidence, unless engines
    /// that seemed to have crashed are still there.
    async fn decide(&self, shared: &Shared) {
        let is_remembered = |part| shared.quarantine.is_remembered(part);
        let suspects = self.evidence.borrow().suspects(is_remembered);
        if suspects.is_empty() {
            return;
        }
        let answers = query_answers(shared, &suspects).await;
        self.evidence
            .borrow_mut()
            .record_answers(&answers, shared.now());
        let mut begun = Vec::new();
        let (mut checked, mut survivors) = (BTreeSet::new(), BTreeSet::new());
        loop {
            let deadly = self
                .evidence
                .borrow()
                .deadly_part(is_remembered, &survivors);
            let Some(part) = deadly else { break };
            let mut runs = self.evidence.borrow().runs_with(part);
            runs.retain(|run| !checked.contains(run));
            if !runs.is_empty() {
                survivors.extend(find_survivors(shared, &runs).await);
                checked.extend(runs);
                continue;
            }
            let notice = shared.quarantine.begin(shared, part);
            let crashes = self.evidence.borrow_mut().explain(part, shared.now());
            slog::warn!(shared.log, "quarantine: Part of prompts quarantined.";
                "part" => %part, "crashes" => crashes, "suspects" => suspects.len(),
                "period" => %notice.period);
            begun.push(notice);
        }
        if !begun.is_empty() {
            announce(shared, &begun);
        }
    }
}

/// Asks all nodes when they have last seen parts answered.
async fn query_answers(shared: &Shared, parts: &[PartKey]) -> Vec<PartAnswer> {
    let asked_at = shared.now();
    let mut answers = shared.quarantine.answers(parts, asked_at);
    let (sender, receiver) = async_channel::unbounded();
    let others = other_nodes(shared);
    for (node, address) in &others {
        let (task, sender) = (Shared::clone(shared), sender.clone());
        let (node, address) = (node.clone(), *address);
        let query = AnswerQuery {
            parts: parts.to_vec(),
        };
        shared.tasks.spawn(async move {
            let peers = &task.peers;
            let call =
                peers.call::<_, AnswerReply>(address, ANSWER_QUERY_PATH, &query, QUERY_TIMEOUT);
            match call.await {
                // Fails if the decision no longer waits for replies.
                Ok(reply) => drop(sender.send(reply).await),
                Err(error) => slog::info!(task.log, "quarantine: No reply to a query.";
                    "peer" => %node, "error" => %error),
            }
        });
    }
    drop(sender);
    let mut replies = 0;
    let collect = async {
        while let Ok(reply) = receiver.recv().await {
            replies += 1;
            answers.extend(reply.answers);
        }
    };
    within(QUERY_TIMEOUT, collect).await;
    slog::info!(shared.log, "quarantine: Asked for answers.";
        "suspects" => part_list(parts), "nodes" => others.len(), "replies" => replies,
        "answered" => answers.len(), "took" => %shared.now().since(asked_at));
    answers
}

/// The runs that are still registered and accept connections.
async fn find_survivors(shared: &Shared, runs: &[EngineRun]) -> Vec<EngineRun> {
    let registered = registered_runs(shared, runs);
    let (sender, receiver) = async_channel::unbounded();
    let checked = registered.len();
    for (run, address) in registered {
        let sender = sender.clone();
        shared.tasks.spawn(async move {
            let connected = within(CONNECT_TIMEOUT, HttpStream::connect(address)).await;
            if matches!(connected, Some(Ok(_))) {
                // Fails if the decision no longer waits.
                drop(sender.send(run).await);
            }
        });
    }
    drop(sender);
    let mut survivors = Vec::new();
    let collect = async {
        while let Ok(run) = receiver.recv().await {
            survivors.push(run);
        }
    };
    within(CONNECT_TIMEOUT, collect).await;
    slog::info!(shared.log, "quarantine: Checked for survivors.";
        "runs" => runs.len(), "checked" => checked, "survivors" => survivors.len());
    survivors
}

fn registered_runs(shared: &Shared, runs: &[EngineRun]) -> Vec<(EngineRun, SocketAddr)> {
    let registry = shared.registry.borrow();
    let registered = runs.iter().filter_map(|run| {
        let record = registry.get(&run.engine)?;
        (EngineRun::of(record) == *run).then(|| (run.clone(), record.address))
    });
    registered.collect()
}

/// Tells all nodes which parts are quarantined.
fn announce(shared: &Shared, notices: &[QuarantineNotice]) {
    for (node, address) in other_nodes(shared) {
        let task = Shared::clone(shared);
        let update = QuarantineUpdate {
            quarantine: notices.to_vec(),
        };
        shared.tasks.spawn(async move {
            let peers = &task.peers;
            let call = peers.call::<_, PeerAck>(address, QUARANTINE_PATH, &update, UPDATE_TIMEOUT);
            if let Err(error) = call.await {
                slog::info!(task.log, "quarantine: Update not delivered.";
                    "peer" => %node, "error" => %error);
            }
        });
    }
}

fn other_nodes(shared: &Shared) -> Vec<(NodeId, SocketAddr)> {
    let fleet = shared.fleet.borrow();
    let members = fleet.active_members(shared.now()).into_iter();
    let others = members.filter_map(|(node, _)| {
        let address = fleet.address_of(&node)?;
        Some((node, address))
    });
    others.take(MAX_CALLED_NODES).collect()
}

fn part_list(parts: &[PartKey]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}
