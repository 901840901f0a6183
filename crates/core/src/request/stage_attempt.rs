use super::attempt_end::AttemptEnd;
use crate::ids::AttemptNumber;

/// One attempt at a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StageAttempt {
    pub(super) number: AttemptNumber,
    /// Whether its first byte may have been written.
    pub(super) sent: bool,
    /// How it ended, `None` while it is running.
    pub(super) end: Option<AttemptEnd>,
}

impl StageAttempt {
    pub(super) const fn new(number: AttemptNumber) -> Self {
        Self {
            number,
            sent: false,
            end: None,
        }
    }

    pub(super) const fn is_running(&self) -> bool {
        self.end.is_none()
    }
}
