/// How the result of a stage is transmitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// As one complete body.
    Unary,
    /// As a stream of tokens with an explicit end.
    Stream,
}

/// Rules for the attempts at a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StagePolicy {
    /// How the result is transmitted.
    pub kind: AnswerKind,
    /// Whether the stage may run more than once.
    pub idempotent: bool,
    /// Maximum number of attempts, including hedges.
    pub attempt_limit: u32,
}
