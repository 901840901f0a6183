/// What a target says of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceEnd {
    /// The result is held at the target under this name.
    Held(String),
    /// The time of the piece was over when its turn came.
    Late,
    /// A result that the piece needs no longer exists.
    InputGone,
    /// The target has no room for the result.
    NoRoom,
    /// The target failed to produce the result.
    Failed,
}
