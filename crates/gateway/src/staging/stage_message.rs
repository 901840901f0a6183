use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::TimeSpan,
    ids::{NodeId, PoolName, ZoneName},
    staging::QueueBacklog,
};
use verbenahub_platform::PieceInput;

/// Asks a collector for all pieces that a request needs of one stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Service of the stage.
    pub service: PoolName,
    /// Identifier of the request.
    pub request: String,
    /// Position of the stage in the request's route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of the result of one piece, in bytes.
    pub piece_bytes: u64,
    /// Preferred zone of the targets, if the transfers of inputs or results are
    /// large enough for locality to matter.
    pub home: Option<ZoneName>,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Services of all stages that depend on this one, directly or not.
    pub followers: Vec<PoolName>,
    /// Input of the pieces.
    pub input: PieceInput,
    /// Time until the results are needed for the request to meet its latency goal.
    pub goal_left: TimeSpan,
    /// Time until the results are needed for the request to be served at all.
    pub dead_left: TimeSpan,
    /// Whether the pieces may be refused for lack of time.
    pub refusable: bool,
    /// Whether a node that does not collect for the service may answer
    /// [`StageAnswer::Moved`] instead of running the pieces.
    pub movable: bool,
    /// Name of the request's route.
    #[serde(default)]
    pub route: String,
    /// Workspace of the caller; empty if unknown.
    #[serde(default)]
    pub workspace: String,
}

/// Answer to a [`StageRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StageAnswer {
    /// All pieces were produced.
    Done {
        /// Names of the results, in the order of the pieces.
        results: Vec<String>,
        /// Backlog of the collector's queue.
        backlog: QueueBacklog,
    },
    /// The collector lacks the time for the pieces. None of them was started.
    Refused {
        /// Time after which to try again.
        retry_after: TimeSpan,
        /// Backlog of the collector's queue.
        backlog: QueueBacklog,
    },
    /// The node does not collect for the service, or is stopping. None of the
    /// pieces was started.
    Moved {
        /// The collector of the request, if the node knows one.
        owner: Option<NodeId>,
        /// Whether the node is stopping.
        stopping: bool,
    },
    /// The pieces could not be produced.
    Failed {
        /// Reason, for log lines.
        reason: String,
    },
}

/// Tells a collector that results are no longer needed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FreeRequest {
    /// Service whose targets hold the results.
    pub service: PoolName,
    /// Names of the results.
    pub names: Vec<String>,
}
