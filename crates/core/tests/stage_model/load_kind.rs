use std::ops::Range;

/// One stage of a kind of request.
#[derive(Clone, Copy, Debug)]
pub struct KindStage {
    /// Position of its service.
    pub service: usize,
    /// Position of the stage that it needs.
    pub after: Option<usize>,
    /// Pieces of a request, on average.
    pub pieces: f64,
    /// Part by which the number of pieces varies.
    pub spread: f64,
    /// Part of the requests that have the stage.
    pub share: f64,
    /// Size of a result, in bytes.
    pub bytes: u64,
    /// Time of a piece against the published one.
    pub work: f64,
}

/// A kind of staged request.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Requests in a second.
    pub per_second: f64,
    /// Time in which the answer should begin, in milliseconds.
    pub goal_ms: u64,
    /// Time after which it is of no use, in milliseconds.
    pub dead_ms: u64,
    /// Rank, 0 is the highest.
    pub priority: u8,
    /// Worth of an answer in time, and of a late one.
    pub worth: (f64, f64),
    /// Its stages.
    pub stages: Vec<KindStage>,
}

/// A span in which more requests come.
#[derive(Clone, Debug)]
pub struct LoadBurst {
    /// Kind that comes more often; all of them if there is none.
    pub kind: Option<usize>,
    /// Multiple of its usual rate.
    pub times: f64,
    /// When, in milliseconds.
    pub span: Range<u64>,
}
