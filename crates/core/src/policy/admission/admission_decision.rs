use super::{AdmissionId, RequestRefusal};

/// Whether an arriving request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run.
    Admitted(AdmissionId),
    /// The request may not run. None of its stages has run.
    Refused(RequestRefusal),
}
