//! Entry point of the `verbenahub-gateway` daemon.

use std::process::ExitCode;

use verbenahub_gateway::process::{DaemonArgs, daemon};

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    match daemon::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
