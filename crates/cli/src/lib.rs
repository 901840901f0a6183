//! The command-line tool `verbenahub`: checks records and settings, renders
//! records for the publisher, calls pipelines, shows the state of nodes and
//! puts load on them.

pub mod call;
pub mod cli;
pub mod consts;
pub mod exit_status;
pub mod http;
pub mod input;
pub mod load;
pub mod stats;
pub mod status;
pub mod tool_error;
pub mod utils;

use argh::FromArgs;

use self::{cli::ToolCommand, consts::TOOL_NAME, exit_status::ExitStatus};

/// Runs the tool with the arguments after its name.
#[must_use]
pub fn run(arguments: &[String]) -> ExitStatus {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let command = match ToolCommand::from_args(&[TOOL_NAME], &arguments) {
        Ok(command) => command,
        Err(exit) => return utils::show_exit(&exit),
    };
    command.run().unwrap_or_else(|error| {
        eprintln!("{TOOL_NAME}: {error}");
        ExitStatus::Usage
    })
}
