//! Runs one stand-in until SIGTERM or the end of its life.

use std::{io, process::ExitCode};

use verbenahub_standins::StandinCommand;

fn main() -> ExitCode {
    let command: StandinCommand = argh::from_env();
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: StandinCommand) -> io::Result<()> {
    command.run()
}
