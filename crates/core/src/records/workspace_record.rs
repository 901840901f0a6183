use super::SecretDigest;
use crate::{
    ids::{GenerationNumber, WorkspaceId},
    units::RateLimit,
};

/// A workspace: its credentials, its rate limit and its share of capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceRecord {
    /// Id of the workspace.
    pub id: WorkspaceId,
    /// Generation number of the record.
    pub generation: GenerationNumber,
    /// Digest of the secret of the workspace.
    pub secret_digest: SecretDigest,
    /// Maximum rate of requests over all nodes.
    pub rate: RateLimit,
    /// Maximum number of requests in a burst over all nodes.
    pub burst: u32,
    /// Share of capacity relative to other workspaces.
    pub weight: u32,
    /// Whether the workspace is out of service and may send no new requests.
    pub retired: bool,
}

impl WorkspaceRecord {
    /// Whether `secret` is the secret of the workspace. The comparison takes
    /// constant time for secrets of the same length.
    #[must_use]
    pub fn verify(&self, secret: &[u8]) -> bool {
        self.secret_digest.verify(secret)
    }
}
