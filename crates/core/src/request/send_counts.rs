/// Number of calls of one request that targets may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SendCounts {
    /// Calls to idempotent stages.
    pub(super) idempotent: u32,
    /// Calls to non-idempotent stages.
    pub(super) non_idempotent: u32,
}

impl SendCounts {
    pub(super) const fn with_idempotent(self) -> Self {
        Self {
            idempotent: self.idempotent.saturating_add(1),
            non_idempotent: self.non_idempotent,
        }
    }

    pub(super) const fn with_non_idempotent(self) -> Self {
        Self {
            idempotent: self.idempotent,
            non_idempotent: self.non_idempotent.saturating_add(1),
        }
    }

    pub(super) const fn without_idempotent(self) -> Self {
        Self {
            idempotent: self.idempotent.saturating_sub(1),
            non_idempotent: self.non_idempotent,
        }
    }

    pub(super) const fn without_non_idempotent(self) -> Self {
        Self {
            idempotent: self.idempotent,
            non_idempotent: self.non_idempotent.saturating_sub(1),
        }
    }

    /// Counts a non-idempotent call whose input was rejected as an idempotent
    /// one: it had no effect, so the request may end as `failed`.
    pub(super) const fn with_rejected_effect(self) -> Self {
        self.without_non_idempotent().with_idempotent()
    }
}
