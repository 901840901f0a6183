use crate::{clock::ClockTime, ids::TargetId};

/// A request that an engine was chosen for.
#[derive(Clone, Debug)]
pub(super) struct PlacedRequest {
    pub(super) engine: TargetId,
    /// Run of the engine, if it tells.
    pub(super) started_at: Option<u64>,
    /// Tokens that the engine has yet to read.
    pub(super) tokens: u64,
    /// Whether it has not read the prompt yet.
    pub(super) is_reading: bool,
    /// The request that has the engine read parts which this one shares.
    pub(super) reader: Option<String>,
    /// When it is forgotten.
    pub(super) forgotten_at: ClockTime,
}
