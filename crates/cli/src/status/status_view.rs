use std::{collections::BTreeMap, fmt};

use comfy_table::Table;
use serde::Serialize;
use verbenahub_core::{
    clock::TimeSpan,
    ids::RevisionNumber,
    protocol::{FeedStatus, NodeStatus},
};

use super::{NodeReply, ReplyState, StatusWish};
use crate::{exit_status::ExitStatus, utils};

const HEADING: [&str; 10] = [
    "ADDRESS",
    "NODE",
    "ZONE",
    "READY",
    "CONFIG",
    "CONFIRMED",
    "VMS",
    "NODES",
    "TARGETS",
    "FINDINGS",
];
const ALIVE_STATE: &str = "alive";

/// The state of all nodes asked.
#[derive(Clone, Debug, Serialize)]
pub struct StatusView {
    /// Revision that shall be in force.
    pub revision: Option<RevisionNumber>,
    /// Whether all nodes hold that revision, if one was asked for.
    pub in_force: Option<bool>,
    /// Whether all nodes take requests, if that was asked for.
    pub ready: Option<bool>,
    /// Whether nodes with one revision of the configuration hold the same
    /// entries.
    pub consistent: bool,
    /// What each node says.
    pub nodes: Vec<NodeReply>,
}

impl StatusView {
    /// Puts the replies together.
    #[must_use]
    pub fn new(wish: StatusWish, nodes: Vec<NodeReply>) -> Self {
        let in_force = wish
            .revision
            .map(|revision| all_nodes(&nodes, |status| status.config.revision >= revision));
        let ready = wish.ready.then(|| all_nodes(&nodes, |status| status.ready));
        Self {
            revision: wish.revision,
            in_force,
            ready,
            consistent: is_consistent(&nodes),
            nodes,
        }
    }

    /// Whether the nodes have reached what was asked for.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.in_force != Some(false) && self.ready != Some(false)
    }

    /// The exit code for this state.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        if self.nodes.iter().any(|node| node.status().is_none()) {
            ExitStatus::Unreachable
        } else if self.is_reached() && self.consistent {
            ExitStatus::Success
        } else {
            ExitStatus::Unmet
        }
    }

    fn table(&self) -> Table {
        let mut table = utils::new_table(&HEADING);
        for reply in &self.nodes {
            let address = reply.address.to_string();
            match &reply.state {
                ReplyState::Status(status) => table.add_row(status_row(address, status)),
                ReplyState::Error(error) => table.add_row(vec![address, error.clone()]),
            };
        }
        table
    }
}

impl fmt::Display for StatusView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.table())?;
        for status in self.nodes.iter().filter_map(NodeReply::status) {
            for finding in &status.findings {
                write!(formatter, "\n{}: {finding}", status.node)?;
            }
        }
        if !self.consistent {
            write!(
                formatter,
                "\nnodes with one revision hold different entries"
            )?;
        }
        if self.ready == Some(false) {
            write!(formatter, "\nnot all nodes asked are ready")?;
        }
        match (self.revision, self.in_force) {
            (Some(revision), Some(true)) => {
                write!(
                    formatter,
                    "\nrevision {revision} is in force on all nodes asked"
                )
            }
            (Some(revision), _) => {
                write!(
                    formatter,
                    "\nrevision {revision} is not in force on all nodes asked"
                )
            }
            (None, _) => Ok(()),
        }
    }
}

fn all_nodes<F>(nodes: &[NodeReply], check: F) -> bool
where
    F: Fn(&NodeStatus) -> bool,
{
    nodes.iter().all(|node| node.status().is_some_and(&check))
}

fn status_row(address: String, status: &NodeStatus) -> Vec<String> {
    let alive = status
        .members
        .iter()
        .filter(|member| member.state == ALIVE_STATE)
        .count();
    let usable = status.targets.iter().filter(|target| target.usable).count();
    let ready = match &status.reason {
        _ if status.ready => "yes".to_owned(),
        Some(reason) => format!("no: {reason}"),
        None => "no".to_owned(),
    };
    vec![
        address,
        status.node.to_string(),
        status.zone.to_string(),
        ready,
        describe_feed(&status.config),
        format!(
            "{} ago",
            TimeSpan::from_millis(status.config.confirmed_ago_ms)
        ),
        describe_feed(&status.vms),
        format!("{alive}/{}", status.members.len()),
        format!("{usable}/{}", status.targets.len()),
        status.findings.len().to_string(),
    ]
}

fn describe_feed(feed: &FeedStatus) -> String {
    let reader = if feed.reader { " (reader)" } else { "" };
    format!("{}{reader}", feed.revision)
}

fn is_consistent(nodes: &[NodeReply]) -> bool {
    let mut digests: BTreeMap<RevisionNumber, u64> = BTreeMap::new();
    nodes.iter().filter_map(NodeReply::status).all(|status| {
        let config = status.config;
        *digests.entry(config.revision).or_insert(config.digest) == config.digest
    })
}
