use super::DrainWork;

/// What a stopping node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Fail the readiness check, tell the other nodes, and end each connection
    /// after its next answer.
    TurnUnready,
    /// Close the listening socket of the callers.
    StopAccepting,
    /// Close the connections of callers on which no request is under way.
    CloseIdle,
    /// Seal the ledger of tickets and offer it to a successor.
    SealAndHandOver,
    /// Close everything, join all that was spawned and end the process.
    Stop {
        /// Work that is cut off, empty unless the waiting was ended early.
        unfinished: DrainWork,
    },
}
