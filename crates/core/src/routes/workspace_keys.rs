use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{ids::WorkspaceName, records::SecretDigest};

/// Result of checking a caller's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthResult<'a> {
    /// The key belongs to a workspace.
    Authenticated(&'a WorkspaceName),
    /// No key was sent, or no workspace has this key.
    Unauthenticated,
    /// The configuration has no keys; all callers are allowed.
    NotRequired,
}

/// API keys of all workspaces, stored only as digests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    holders: HashMap<String, WorkspaceName>,
    required: bool,
}

impl WorkspaceKeys {
    /// Creates an empty set of keys that requires callers to send a key.
    #[must_use]
    pub fn required() -> Self {
        Self {
            holders: HashMap::new(),
            required: true,
        }
    }

    /// Adds a key of a workspace.
    pub fn insert(&mut self, key: &[u8], workspace: WorkspaceName) {
        self.holders
            .insert(SecretDigest::of(key).to_hex(), workspace);
    }

    /// Checks the key that a caller sent, if any.
    #[must_use]
    pub fn authenticate(&self, key: Option<&[u8]>) -> AuthResult<'_> {
        if !self.required {
            return AuthResult::NotRequired;
        }
        let digest = key.map(|key| SecretDigest::of(key).to_hex());
        let holder = digest.and_then(|digest| self.holders.get(&digest));
        holder.map_or(AuthResult::Unauthenticated, AuthResult::Authenticated)
    }
}
