use verbenahub_core::targets::AnswerHistory;

use crate::http::HttpStream;

/// A connection to a target, and the answers that arrived on it.
#[derive(Debug)]
pub struct TargetConnection {
    /// The byte stream.
    pub stream: HttpStream,
    /// Answers to earlier calls.
    pub history: AnswerHistory,
}

impl TargetConnection {
    /// Wraps a connection that has carried no call.
    #[must_use]
    pub fn new(stream: HttpStream) -> Self {
        Self {
            stream,
            history: AnswerHistory::default(),
        }
    }

    /// Whether the next response on the connection can only belong to the next
    /// call, as far as is known before that call is sent.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.stream.is_reusable() && !self.history.is_full()
    }
}
