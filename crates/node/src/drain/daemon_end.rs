use std::process::ExitCode;

/// Exit code of a process that aborted unfinished work.
const FORCED_EXIT_CODE: u8 = 3;

/// How the daemon shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonEnd {
    /// All requests were finished.
    Graceful,
    /// Unfinished work was aborted, because of the time limit or a second signal.
    Forced,
}

impl DaemonEnd {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(self) -> ExitCode {
        match self {
            Self::Graceful => ExitCode::SUCCESS,
            Self::Forced => ExitCode::from(FORCED_EXIT_CODE),
        }
    }
}
