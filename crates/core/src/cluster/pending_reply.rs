use super::{MemberRecord, ReplyToken};

/// A call received from another node that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingReply {
    pub(super) token: ReplyToken,
    pub(super) caller: MemberRecord,
    /// Member records in the call, which need not be sent back.
    pub(super) caller_members: Vec<MemberRecord>,
    /// The caller's digest over the handovers that it knows.
    pub(super) handover_digest: u64,
    /// Whether changes of each feed were already expected before the call.
    pub(super) awaiting: [bool; 2],
}
