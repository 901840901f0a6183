use super::AdmissionId;

/// The end of a call's wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The call of this request now holds a slot.
    Start(AdmissionId),
    /// The call of this request can no longer finish before the deadline.
    Expire(AdmissionId),
}
