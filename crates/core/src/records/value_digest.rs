use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

use super::KeyError;

/// Number of bytes of the SHA-256 digest that are kept.
const PREFIX_BYTES: usize = 4;

/// The first 4 bytes of the SHA-256 digest of a record's text, written as 8
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ValueDigest([u8; PREFIX_BYTES]);

impl ValueDigest {
    /// Computes the digest of the text of a record.
    #[must_use]
    pub fn of(value: &[u8]) -> Self {
        let full: [u8; 32] = Sha256::digest(value).into();
        let mut prefix = [0; PREFIX_BYTES];
        prefix.copy_from_slice(&full[..PREFIX_BYTES]);
        Self(prefix)
    }
}

impl fmt::Display for ValueDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl FromStr for ValueDigest {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let mut prefix = [0; PREFIX_BYTES];
        let canonical = !text.bytes().any(|byte| byte.is_ascii_uppercase());
        if canonical && hex::decode_to_slice(text, &mut prefix).is_ok() {
            Ok(Self(prefix))
        } else {
            Err(KeyError::Digest(text.to_owned()))
        }
    }
}
