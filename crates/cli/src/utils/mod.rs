//! Output of the tool: JSON, tables and help.

use std::io::{self, Write};

use argh::EarlyExit;
use comfy_table::{Table, presets};
use serde::Serialize;

use crate::{exit_status::ExitStatus, tool_error::ToolError};

/// Writes a value as indented JSON to standard output.
///
/// # Errors
///
/// Fails when the value or the output cannot be written.
pub fn print_json<T>(value: &T) -> Result<(), ToolError>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value)?;
    print_text(&text)
}

/// Writes a text and a line break to standard output.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn print_text(text: &str) -> Result<(), ToolError> {
    writeln!(io::stdout().lock(), "{text}").map_err(ToolError::Output)
}

/// Creates a table with a heading, without frames.
#[must_use]
pub fn new_table(heading: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(heading.iter().copied());
    table
}

/// Shows what the parser of the arguments has to say.
pub(crate) fn show_exit(exit: &EarlyExit) -> ExitStatus {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitStatus::Success;
    }
    eprintln!("{}", exit.output);
    ExitStatus::Usage
}
