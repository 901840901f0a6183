use std::sync::Arc;

use bytes::Bytes;
use verbenahub_core::{
    clock::ClockTime,
    ids::RequestId,
    records::{PipelineRecord, WorkspaceRecord},
};

use crate::process::trace::HopSpan;

/// A request that was authorized and read completely.
///
/// It keeps the records that were valid when it arrived, even if the
/// configuration changes while it runs.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request, unique across nodes and restarts.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: Arc<WorkspaceRecord>,
    /// Pipeline to run.
    pub pipeline: Arc<PipelineRecord>,
    /// Body of the request, which is the input of the first stage.
    pub body: Bytes,
    /// Time at which the request arrived.
    pub received_at: ClockTime,
    /// Time by which the complete answer is due.
    pub deadline: ClockTime,
    /// Trace span of the request on this node.
    pub span: HopSpan,
}
