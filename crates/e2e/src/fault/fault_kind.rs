use std::fmt;

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// A node is killed and later replaced.
    KillNode,
    /// A node is frozen and wakes late.
    PauseNode,
    /// The connections to a target break and new ones are refused.
    CutTarget,
    /// The open connections to a target go silent for good; new ones work.
    SilentTarget,
    /// A partition holds back all that goes to and from a target.
    HoldTarget,
    /// A node can read neither the configuration service nor the membership list.
    HoldPlatform,
    /// The configuration service refuses all calls.
    ConfigDown,
    /// The configuration service serves an older revision.
    ConfigStale,
    /// A replica is slow.
    SlowReplica,
    /// A replica fails half of its calls.
    FailingReplica,
    /// A burst of requests comes.
    Burst,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 11] = [
        Self::KillNode,
        Self::PauseNode,
        Self::CutTarget,
        Self::SilentTarget,
        Self::HoldTarget,
        Self::HoldPlatform,
        Self::ConfigDown,
        Self::ConfigStale,
        Self::SlowReplica,
        Self::FailingReplica,
        Self::Burst,
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::KillNode => "kill node",
            Self::PauseNode => "pause node",
            Self::CutTarget => "cut target",
            Self::SilentTarget => "silent target",
            Self::HoldTarget => "hold target",
            Self::HoldPlatform => "hold platform",
            Self::ConfigDown => "config down",
            Self::ConfigStale => "config stale",
            Self::SlowReplica => "slow replica",
            Self::FailingReplica => "failing replica",
            Self::Burst => "burst",
        })
    }
}
