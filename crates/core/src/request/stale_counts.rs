/// Why a result was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// The attempt or the stage has ended.
    Late,
    /// The tokens were delivered already.
    Duplicate,
    /// Tokens before these or at the end of the stream are missing, or these
    /// overlap with delivered ones.
    Gap,
    /// The result is not of the expected kind, its label names another request,
    /// stage or attempt, or the attempt was not sent.
    CrossWired,
}

/// Number of results of one stage that were not accepted, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StaleCounts {
    /// Results after the end of their attempt or of the stage.
    pub late: u32,
    /// Chunks whose tokens were delivered already.
    pub duplicate: u32,
    /// Results with missing or overlapping tokens.
    pub gap: u32,
    /// Results of another request, stage, attempt or kind.
    pub cross_wired: u32,
}

impl StaleCounts {
    pub(super) const fn add(&mut self, reason: StaleReason) {
        let count = match reason {
            StaleReason::Late => &mut self.late,
            StaleReason::Duplicate => &mut self.duplicate,
            StaleReason::Gap => &mut self.gap,
            StaleReason::CrossWired => &mut self.cross_wired,
        };
        *count = count.saturating_add(1);
    }
}
