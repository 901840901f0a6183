use super::{AdmissionId, RequestRefusal};

/// The answer to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may run.
    Admitted(AdmissionId),
    /// The request may not run and has not run.
    Refused(RequestRefusal),
}
