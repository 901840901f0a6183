use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::ids::RevisionNumber;

/// One key of a feed with its current value.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedEntry {
    /// The key; its parts are separated by `/`.
    pub key: String,
    /// Revision of the last change of the key.
    pub revision: RevisionNumber,
    /// The value, encoded as base64; `None` if the key was deleted.
    #[serde_as(as = "Option<Base64>")]
    pub value: Option<Vec<u8>>,
}
