use super::DrainWork;

/// Input of the [`super::DrainController`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The process received a termination signal. A second one ends the wait for
    /// work in progress.
    Signal,
    /// Time has passed; this work is still in progress.
    Tick(DrainWork),
    /// The handover has ended, with or without a successor.
    HandoverEnded,
}
