use std::sync::Arc;

use bytes::Bytes;
use verbenahub_core::{
    clock::ClockTime,
    ids::RequestId,
    records::{PipelineRecord, WorkspaceRecord},
};

use crate::process::trace::HopSpan;

/// A request that was read, checked and admitted to its pipeline.
///
/// It keeps the records with which it began.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// The workspace that called.
    pub workspace: Arc<WorkspaceRecord>,
    /// The pipeline that was called.
    pub pipeline: Arc<PipelineRecord>,
    /// The body, input of the first stage.
    pub body: Bytes,
    /// When the request arrived.
    pub received_at: ClockTime,
    /// When its whole answer must be there.
    pub deadline: ClockTime,
    /// The span of the request at this node.
    pub span: HopSpan,
}
