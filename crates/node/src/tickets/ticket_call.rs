use bytes::Bytes;
use verbenahub_core::{
    clock::ClockTime,
    ids::RequestId,
    ticket::{BodyDigest, CallTicket},
};

use crate::process::trace::HopSpan;

/// A call with a ticket, read and authenticated.
#[derive(Debug)]
pub struct TicketCall {
    /// Id of the call, and of the request if this call starts its run.
    pub id: RequestId,
    /// The ticket that the call presents.
    pub ticket: CallTicket,
    /// The body, which is the input of the first stage.
    pub body: Bytes,
    /// Digest of the body.
    pub digest: BodyDigest,
    /// The received `Authorization` header, for forwarding to another node.
    pub authorization: String,
    /// Time at which the call arrived.
    pub arrived: ClockTime,
    /// Time by which the caller needs the answer.
    pub deadline: ClockTime,
    /// The trace span of the call at this node.
    pub span: HopSpan,
    /// Whether another node forwarded the call.
    pub forwarded: bool,
}
