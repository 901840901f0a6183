//! The daemon `verbenahubd`.

use std::process::ExitCode;

use verbenahub_node::{cli::DaemonArgs, daemon};

fn main() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    match daemon::run(&args) {
        Ok(end) => end.exit_code(),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
