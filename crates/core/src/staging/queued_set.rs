use super::StageSet;
use crate::clock::ClockTime;

/// One waiting or running set.
#[derive(Clone, Debug)]
pub(super) struct QueuedSet {
    pub(super) set: StageSet,
    pub(super) arrived_at: ClockTime,
    /// Pieces that wait for a call.
    pub(super) waiting: Vec<u32>,
    pub(super) results: Vec<Option<String>>,
    pub(super) missing: u32,
    pub(super) retries: u32,
    /// Whether its goal was given up. It stays so.
    pub(super) is_late: bool,
}
