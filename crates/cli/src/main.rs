//! The command-line tool `verbenahub`.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    verbenahub_cli::run(&arguments).into()
}
