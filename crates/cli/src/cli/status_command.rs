use std::net::SocketAddr;

use argh::FromArgs;
use verbenahub_core::{clock::TimeSpan, ids::RevisionNumber};

use crate::{
    exit_status::ExitStatus,
    status::{self, StatusWish},
    tool_error::ToolError,
    utils,
};

/// Shows the state of nodes: readiness, revisions, other nodes, targets and
/// findings. Exit codes: 0 all nodes answer and are as asked for; 1 one is not,
/// or nodes with one revision hold different entries; 6 a node gave no answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// address and port of a node; may be repeated
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// revision of the configuration that shall be in force on all nodes
    #[argh(option)]
    pub revision: Option<RevisionNumber>,
    /// all nodes shall take requests
    #[argh(switch)]
    pub ready: bool,
    /// wait so long at most until all is as asked for, such as `4 s`
    #[argh(option)]
    pub wait: Option<TimeSpan>,
    /// write JSON
    #[argh(switch)]
    pub json: bool,
}

impl StatusCommand {
    /// Asks the nodes.
    ///
    /// # Errors
    ///
    /// Fails when no node is named or the output cannot be written.
    pub fn run(self) -> Result<ExitStatus, ToolError> {
        if self.node.is_empty() {
            return Err(ToolError::NoNode);
        }
        let wait = self.wait.unwrap_or_default();
        let wish = StatusWish {
            revision: self.revision,
            ready: self.ready,
        };
        let view = smol::block_on(status::wait_for(&self.node, wish, wait));
        if self.json {
            utils::print_json(&view)?;
        } else {
            utils::print_text(&view.to_string())?;
        }
        Ok(view.exit_status())
    }
}
