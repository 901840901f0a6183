use std::fmt;

use serde::{Deserialize, Serialize};

/// What a repeat of a request on a route may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answers with a stream of events and may run at most once, unless the
    /// route allows to resume.
    Streaming,
}

impl fmt::Display for RouteKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        })
    }
}
