use super::AdmissionId;

/// What follows for calls that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The call of this request now holds a slot.
    Start(AdmissionId),
    /// The call of this request could not end in time any more.
    Expire(AdmissionId),
}
