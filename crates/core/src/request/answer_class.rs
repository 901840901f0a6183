/// Meaning of the HTTP status of a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// The call ran; its result follows.
    Success,
    /// The input is invalid. The call did not take effect.
    BadInput,
    /// The target did not run the call.
    Refused(TargetRefusal),
    /// The call failed. It may have taken effect before that.
    Failed,
    /// An intermediary failed or the status is unexpected. The call may have
    /// taken effect.
    Unclear,
}

/// Proof that a target reported not to have run a call.
///
/// Only [`AnswerClass::of_status`] creates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetRefusal(());

impl AnswerClass {
    /// Classifies the HTTP status of a target's answer.
    #[must_use]
    pub const fn of_status(status: u16) -> Self {
        match status {
            200..=299 => Self::Success,
            429 | 503 => Self::Refused(TargetRefusal(())),
            400..=499 => Self::BadInput,
            500 => Self::Failed,
            _ => Self::Unclear,
        }
    }
}
