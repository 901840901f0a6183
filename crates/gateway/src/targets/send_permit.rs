use std::sync::Arc;

use verbenahub_core::targets::TargetRecord;

/// Allows one call to a target. Each call needs one, whatever it is for, so that
/// none escapes the limit that the target may have named.
#[derive(Debug)]
pub struct SendPermit {
    record: Arc<TargetRecord>,
}

impl SendPermit {
    pub(super) const fn new(record: Arc<TargetRecord>) -> Self {
        Self { record }
    }

    /// The target that may be called.
    #[must_use]
    pub const fn record(&self) -> &Arc<TargetRecord> {
        &self.record
    }

    pub(super) fn into_record(self) -> Arc<TargetRecord> {
        self.record
    }
}
