/// Whether a call that asks for a slot may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The call holds a slot.
    Started,
    /// The call is queued. An [`AdmissionAction`](super::AdmissionAction) ends
    /// its wait.
    Waiting,
    /// The call can no longer finish before the deadline.
    Expired,
}
