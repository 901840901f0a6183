use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::protocol::AnswerOutcome;

/// The answer of a ticket, kept so that repeated calls get it byte for byte.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub media_type: String,
    /// Outcome of the request.
    pub outcome: AnswerOutcome,
    /// The body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Size of the media type and the body, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.media_type.len() + self.body.len()
    }
}
