use std::{collections::BTreeMap, net::SocketAddr};

use futures_lite::future;
use serde::Serialize;
use smol::Timer;
use verbenahub_core::protocol::paths;

use crate::{
    consts::{PAGE_LIMIT, STATUS_TIMEOUT},
    http::{ClientError, NodeClient, OutgoingCall},
};

/// Counter of the nodes: seconds of targets times the weight of the stage.
const COST_METRIC: &str = "verbenahub_stage_cost_seconds_total";

/// Cost of each stage at each node since the node started.
#[derive(Clone, Debug, Default)]
pub struct CostTable {
    counters: BTreeMap<CostCounter, f64>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CostCounter {
    node: SocketAddr,
    stage: StageLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StageLabel {
    pipeline: String,
    stage: String,
}

/// Cost of one stage over all nodes.
#[derive(Clone, Debug, Serialize)]
pub struct StageCost {
    /// The pipeline.
    pub pipeline: String,
    /// The stage.
    pub stage: String,
    /// Seconds of targets times the weight of the stage.
    pub cost: f64,
}

impl CostTable {
    /// Reads the metrics of all nodes; a node without an answer is left out.
    pub async fn scrape(client: &NodeClient, nodes: &[SocketAddr]) -> Self {
        let mut table = Self::default();
        for node in nodes {
            if let Ok(page) = read_page(client, *node).await {
                table.add_page(*node, &page);
            }
        }
        table
    }

    /// Adds the counters of a page of metrics.
    pub fn add_page(&mut self, node: SocketAddr, page: &str) {
        for (stage, value) in page.lines().filter_map(parse_line) {
            self.counters.insert(CostCounter { node, stage }, value);
        }
    }

    /// The cost since `earlier`, by stage. The counter of a node that was
    /// restarted counts from 0.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Vec<StageCost> {
        let mut stages: BTreeMap<StageLabel, f64> = BTreeMap::new();
        for (counter, value) in &self.counters {
            let before = earlier.counters.get(counter).copied().unwrap_or(0.0);
            let added = if *value < before {
                *value
            } else {
                value - before
            };
            *stages.entry(counter.stage.clone()).or_default() += added;
        }
        stages
            .into_iter()
            .map(|(label, cost)| StageCost {
                pipeline: label.pipeline,
                stage: label.stage,
                cost,
            })
            .collect()
    }
}

/// Reads the metrics of a node, which may be silent.
async fn read_page(client: &NodeClient, node: SocketAddr) -> Result<String, ClientError> {
    let timeout = async {
        Timer::after(STATUS_TIMEOUT).await;
        Err(ClientError::Timeout { node })
    };
    let page = async {
        let answer = client
            .send(node, &OutgoingCall::get(paths::METRICS))
            .await?;
        answer.read_all(PAGE_LIMIT).await
    };
    let page = future::or(page, timeout).await?;
    Ok(String::from_utf8_lossy(&page).into_owned())
}

/// Reads a line `name{pipeline="p",stage="s"} value`. Names of pipelines and
/// stages need no escapes.
fn parse_line(line: &str) -> Option<(StageLabel, f64)> {
    let rest = line.strip_prefix(COST_METRIC)?.strip_prefix('{')?;
    let (labels, value) = rest.split_once('}')?;
    let stage = StageLabel {
        pipeline: find_label(labels, "pipeline")?,
        stage: find_label(labels, "stage")?,
    };
    Some((stage, value.split_whitespace().next()?.parse().ok()?))
}

fn find_label(labels: &str, name: &str) -> Option<String> {
    labels.split(',').find_map(|label| {
        let (key, value) = label.split_once('=')?;
        (key.trim() == name).then(|| value.trim_matches('"').to_owned())
    })
}
