/// Calls of one request that targets may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SendCounts {
    /// Calls of idempotent stages.
    pub(super) plain: u32,
    /// Calls of non-idempotent stages.
    pub(super) effects: u32,
}

impl SendCounts {
    pub(super) const fn with_plain(self) -> Self {
        Self {
            plain: self.plain.saturating_add(1),
            effects: self.effects,
        }
    }

    pub(super) const fn with_effect(self) -> Self {
        Self {
            plain: self.plain,
            effects: self.effects.saturating_add(1),
        }
    }

    pub(super) const fn without_plain(self) -> Self {
        Self {
            plain: self.plain.saturating_sub(1),
            effects: self.effects,
        }
    }

    pub(super) const fn without_effect(self) -> Self {
        Self {
            plain: self.plain,
            effects: self.effects.saturating_sub(1),
        }
    }

    /// Counts the effect as an idempotent call, whose outcome harms nobody.
    pub(super) const fn with_rejected_effect(self) -> Self {
        self.without_effect().with_plain()
    }
}
