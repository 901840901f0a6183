//! Processes that a test starts and ends.

mod output_log;
mod process_guard;
mod program_file;

pub use self::{output_log::OutputLog, process_guard::ProcessGuard, program_file::ProgramFile};
