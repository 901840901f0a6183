use thiserror::Error;

use crate::ids::NameError;

/// Why a text is not a valid ticket.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text exceeds the length limit of tickets.
    #[error("a ticket has at most {limit} bytes, this one has {length}")]
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
        /// Length of the text, in bytes.
        length: usize,
    },
    /// The text has the wrong number of fields.
    #[error("the ticket has {found} fields instead of {expected}")]
    FieldCount {
        /// Number of fields of a ticket.
        expected: usize,
        /// Number of fields of the text.
        found: usize,
    },
    /// The format version is not supported.
    #[error("the ticket has an unknown format version")]
    Version,
    /// The signature is not valid base64.
    #[error("the signature of the ticket is malformed")]
    SignatureText,
    /// The signature does not match.
    #[error("the signature of the ticket does not match")]
    Signature,
    /// The signature matches, but a field cannot be parsed.
    #[error("the {field} of the ticket is malformed")]
    Field {
        /// Name of the field.
        field: &'static str,
    },
    /// The signature matches, but an identifier is malformed.
    #[error("the ticket holds a malformed identifier: {0}")]
    Name(#[from] NameError),
}
