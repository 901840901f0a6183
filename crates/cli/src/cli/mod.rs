//! The commands of the tool, their options and what they do.

mod call_command;
mod check_command;
mod load_command;
mod render_command;
mod status_command;

use argh::FromArgs;

pub use self::{
    call_command::CallCommand, check_command::CheckCommand, load_command::LoadCommand,
    render_command::RenderCommand, status_command::StatusCommand,
};
use crate::{exit_status::ExitStatus, tool_error::ToolError};

/// Checks, renders and tries out what verbenahub serves.
///
/// Exit codes: 0 all well; 1 findings, or a revision is not in force;
/// 2 arguments or files that cannot be used; 3 the request failed;
/// 4 the request was not run; 5 the outcome is unknown; 6 a node gave
/// no answer.
#[derive(Debug, FromArgs)]
pub struct ToolCommand {
    #[argh(subcommand)]
    action: ToolAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ToolAction {
    Check(CheckCommand),
    Render(RenderCommand),
    Call(CallCommand),
    Status(StatusCommand),
    Load(LoadCommand),
}

impl ToolCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails when the arguments or a file cannot be used.
    pub fn run(self) -> Result<ExitStatus, ToolError> {
        match self.action {
            ToolAction::Check(command) => command.run(),
            ToolAction::Render(command) => command.run(),
            ToolAction::Call(command) => command.run(),
            ToolAction::Status(command) => command.run(),
            ToolAction::Load(command) => command.run(),
        }
    }
}
