use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::TimeSpan,
    ids::{NodeId, PoolName, ZoneName},
    staging::QueueBacklog,
};
use verbenahub_platform::PieceInput;

/// Asks for all pieces that a request needs of one stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Service of the stage.
    pub service: PoolName,
    /// The request.
    pub request: String,
    /// Position of the stage in the request's route.
    pub stage: usize,
    /// Number of pieces.
    pub pieces: u32,
    /// Approximate size of the result of one piece, in bytes.
    pub piece_bytes: u64,
    /// Zone in which the results will be read, if that matters.
    pub home: Option<ZoneName>,
    /// Rank of the request against others, 0 is the highest.
    pub priority: u8,
    /// Services of the stages that come after this one.
    pub followers: Vec<PoolName>,
    /// What they are made from.
    pub input: PieceInput,
    /// Time until the results are needed for the request to meet its goal.
    pub goal_left: TimeSpan,
    /// Time until the results are of no use.
    pub dead_left: TimeSpan,
    /// Whether the pieces may be refused for lack of time.
    pub refusable: bool,
    /// Whether a node that collects for the service no longer may say so.
    pub movable: bool,
}

/// What became of the pieces.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StageAnswer {
    /// The results are there.
    Done {
        /// Their names, by number of piece.
        results: Vec<String>,
        /// What waits at the collector.
        backlog: QueueBacklog,
    },
    /// There is no time for the pieces. None of them was begun.
    Refused {
        /// When there will be.
        retry_after: TimeSpan,
        /// What waits at the collector.
        backlog: QueueBacklog,
    },
    /// The node doesn't collect for the service, or stops. None of the pieces was
    /// begun.
    Moved {
        /// The collector, as far as the node knows.
        owner: Option<NodeId>,
        /// Whether the node stops.
        stopping: bool,
    },
    /// The pieces could not be produced.
    Failed {
        /// Why.
        reason: String,
    },
}

/// Says that results are no longer needed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FreeRequest {
    /// Service whose targets have made them.
    pub service: PoolName,
    /// Their names.
    pub names: Vec<String>,
}
