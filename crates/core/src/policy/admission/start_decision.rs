/// The answer to a call that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The call holds a slot.
    Started,
    /// An action will follow.
    Waiting,
    /// The call could not end in time any more.
    Expired,
}
