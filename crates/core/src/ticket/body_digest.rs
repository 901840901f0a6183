use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;

/// SHA-256 of the request body of a call with a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest([u8; DIGEST_BYTES]);

impl BodyDigest {
    /// Computes the digest of a body.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }
}
