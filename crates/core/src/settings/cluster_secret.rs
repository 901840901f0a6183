use std::{fmt, str::FromStr};

use subtle::ConstantTimeEq;
use thiserror::Error;

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum length of the secret, in bytes.
const MAX_SECRET_BYTES: usize = 256;

/// Secret shared by all nodes of a cluster. Its `Debug` output hides the value.
#[derive(Clone)]
pub struct ClusterSecret(String);

/// Error for a text that is not a valid cluster secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} printable ASCII characters without spaces"
)]
pub struct SecretError;

impl ClusterSecret {
    /// The secret in plain text, to be sent to another node.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `secret` equals the cluster secret. The comparison takes constant
    /// time for all inputs of one length.
    #[must_use]
    pub fn verify(&self, secret: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(secret).into()
    }
}

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterSecret(..)")
    }
}

impl FromStr for ClusterSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        let is_length_valid = (MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&text.len());
        if is_length_valid && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self(text.to_owned()))
        } else {
            Err(SecretError)
        }
    }
}
