/// Outcome of one piece of a call, as the target reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceEnd {
    /// The target holds the result under this name.
    Held(String),
    /// The deadline of the piece had passed before the target started it.
    Late,
    /// A result that the piece needs no longer exists.
    InputGone,
    /// The target has no room for the result.
    NoRoom,
    /// The target failed to produce the result.
    Failed,
}

impl PieceEnd {
    /// Name of the result, if there is one.
    #[must_use]
    pub fn result(&self) -> Option<&str> {
        match self {
            Self::Held(name) => Some(name),
            Self::Late | Self::InputGone | Self::NoRoom | Self::Failed => None,
        }
    }
}
