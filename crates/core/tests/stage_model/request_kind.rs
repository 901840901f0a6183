use std::ops::Range;

/// A stage of a kind of request.
#[derive(Clone, Copy, Debug)]
pub struct KindStage {
    /// Index of its service.
    pub service: usize,
    /// Index of the stage whose results it reads, if any.
    pub after: Option<usize>,
    /// Average number of pieces of a request.
    pub pieces: f64,
    /// Relative variation of the number of pieces.
    pub variation: f64,
    /// Probability that a request has the stage.
    pub probability: f64,
    /// Size of the result of a piece, in bytes.
    pub bytes: u64,
    /// Time of a piece as a multiple of the published one.
    pub time_factor: f64,
}

/// A kind of staged request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    pub route: &'static str,
    pub workspace: &'static str,
    /// Requests per second.
    pub per_second: f64,
    /// Time in which the answer should start, in milliseconds.
    pub goal_ms: u64,
    /// Time after which the answer is of no use, in milliseconds.
    pub deadline_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Value of an answer on time, and of a late one.
    pub value: (f64, f64),
    /// Stages of each request.
    pub stages: Vec<KindStage>,
}

/// A period with more requests.
#[derive(Clone, Debug)]
pub struct LoadBurst {
    /// Index of the kind that arrives more often; all kinds if `None`.
    pub kind: Option<usize>,
    /// Multiple of the usual rate.
    pub factor: f64,
    /// Start and end of the period, in milliseconds.
    pub span: Range<u64>,
}
