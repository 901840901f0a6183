use std::fmt;

use verbenahub_core::clock::{ClockTime, TimeSpan};

/// Time after its first event for which an answer counts as just begun. Longer
/// than a target takes from the first event to the next one.
const SETTLING_TIME: TimeSpan = TimeSpan::from_millis(250);

/// How far a target had come with its answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerPhase {
    /// Nothing of the answer has arrived.
    Sent,
    /// The head has arrived.
    Head,
    /// The first event has arrived a moment ago.
    Begun,
    /// The target has been answering for a while.
    Settled,
}

impl AnswerPhase {
    /// Phase of a stream whose head has arrived.
    pub(super) fn of_stream(first_event_at: Option<ClockTime>, now: ClockTime) -> Self {
        match first_event_at {
            None => Self::Head,
            Some(at) if now.since(at) < SETTLING_TIME => Self::Begun,
            Some(_) => Self::Settled,
        }
    }

    /// Label for metrics.
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Head => "head",
            Self::Begun => "begun",
            Self::Settled => "settled",
        }
    }
}

impl fmt::Display for AnswerPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}
