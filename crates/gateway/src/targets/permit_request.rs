use std::sync::Arc;

use verbenahub_core::{clock::TimeSpan, targets::TargetRecord};

use super::CallPurpose;

/// A call for which a permit is requested.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest<'a> {
    /// The target to be called.
    pub record: &'a Arc<TargetRecord>,
    /// What the call is for.
    pub purpose: CallPurpose,
    /// Identifier of the caller's request, if the call belongs to one.
    pub request: Option<&'a str>,
    /// Longest wait for the permit.
    pub patience: TimeSpan,
}
