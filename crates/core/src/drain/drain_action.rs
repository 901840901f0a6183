use super::DrainWork;

/// Next step of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Fail the readiness check, announce the shutdown to the other nodes, and
    /// close each connection after its next answer.
    TurnUnready,
    /// Close the listening socket for callers.
    StopAccepting,
    /// Close the connections of callers on which no request is in progress.
    CloseIdle,
    /// Seal the ticket ledger and offer it to a successor.
    SealAndHandOver,
    /// Close all connections, join all tasks and exit the process.
    Stop {
        /// Work that is aborted; empty unless a second signal or a time limit
        /// ended the wait for it.
        unfinished: DrainWork,
    },
}
