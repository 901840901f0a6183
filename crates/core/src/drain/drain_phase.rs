use std::fmt;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// The node serves requests.
    Serving,
    /// The node serves requests but reports that it is not ready.
    Unready,
    /// The node accepts no new connections; requests on open ones are answered.
    Closing,
    /// The node finishes the work in progress.
    Finishing,
    /// The node hands over its tickets.
    HandingOver,
    /// The process may exit.
    Stopped,
}

impl fmt::Display for DrainPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Serving => "serving",
            Self::Unready => "unready",
            Self::Closing => "closing",
            Self::Finishing => "finishing",
            Self::HandingOver => "handing over",
            Self::Stopped => "stopped",
        })
    }
}
