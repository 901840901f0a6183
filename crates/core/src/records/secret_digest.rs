use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of the secret of a workspace. Omitted from debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretDigest([u8; DIGEST_BYTES]);

/// The text is not a SHA-256 digest in hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("must be a SHA-256 in 64 hexadecimal digits")]
pub struct DigestError;

impl SecretDigest {
    /// Computes the digest of a secret.
    #[must_use]
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Whether `secret` has this digest. The comparison takes constant time for
    /// secrets of the same length.
    #[must_use]
    pub fn verify(&self, secret: &[u8]) -> bool {
        let digest = Self::of(secret);
        self.0.ct_eq(&digest.0).into()
    }

    /// The digest in hexadecimal digits, as written in records.
    #[must_use]
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }
}

impl fmt::Debug for SecretDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretDigest(..)")
    }
}

impl FromStr for SecretDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).map_err(|_| DigestError)?;
        Ok(Self(digest))
    }
}
