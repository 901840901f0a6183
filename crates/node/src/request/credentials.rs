use http_types::Request;
use verbenahub_core::{ids::WorkspaceId, protocol::headers};

const SCHEME: &str = "Bearer ";

/// Credentials from the header `Authorization: Bearer <workspace>:<secret>`.
pub struct CallerCredentials {
    /// Workspace that the caller claims to belong to, not verified.
    pub workspace: WorkspaceId,
    /// Secret of the workspace. Must not be logged.
    pub secret: String,
}

impl CallerCredentials {
    /// Parses the credentials of a request. Returns `None` if they are missing or
    /// malformed.
    #[must_use]
    pub fn from_request(request: &Request) -> Option<Self> {
        let value = request.header(headers::AUTHORIZATION)?.last().as_str();
        let (workspace, secret) = value.strip_prefix(SCHEME)?.split_once(':')?;
        Some(Self {
            workspace: workspace.parse().ok()?,
            secret: secret.to_owned(),
        })
    }
}
