use crate::clock::TimeSpan;

/// Parameters of stall detection: how long a call may make no progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressRule {
    /// Multiple of the learned time after which a call without progress is
    /// suspected to be stalled.
    pub factor: u64,
    /// Lower bound of the time after which a call is suspected.
    pub shortest: TimeSpan,
    /// Upper bound of the time after which a call is suspected. Also used when
    /// nothing is learned yet.
    pub longest: TimeSpan,
}

impl Default for ProgressRule {
    fn default() -> Self {
        Self {
            factor: 3,
            shortest: TimeSpan::from_millis(150),
            longest: TimeSpan::from_millis(1_500),
        }
    }
}

impl ProgressRule {
    /// Time within which progress is expected, from a learned high quantile.
    #[must_use]
    pub fn expected(&self, learned: Option<TimeSpan>) -> TimeSpan {
        let expected = learned.map_or(self.longest, |time| time * self.factor);
        expected.clamp(self.shortest, self.longest)
    }
}
