use thiserror::Error;

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a {kind} must not be empty")]
    Empty {
        /// Kind of identifier, such as `pool name`.
        kind: &'static str,
    },
    /// The text is longer than an identifier may be.
    #[error("a {kind} has at most {limit} bytes, this one has {length}")]
    TooLong {
        /// Kind of identifier, such as `pool name`.
        kind: &'static str,
        /// Maximum length in bytes.
        limit: usize,
        /// Actual length in bytes.
        length: usize,
    },
    /// The text contains a character other than ASCII letters, digits, `-`, `_`
    /// and `.`.
    #[error("a {kind} holds only ASCII letters, digits, `-`, `_` and `.`, not `{character}`")]
    BadCharacter {
        /// Kind of identifier, such as `pool name`.
        kind: &'static str,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text is not a decimal number.
    #[error("a {kind} is a decimal number, not `{text}`")]
    NotNumber {
        /// Kind of identifier, such as `pool name`.
        kind: &'static str,
        /// The text that was given.
        text: String,
    },
}

/// Maximum length of an identifier, in bytes.
const MAX_NAME_BYTES: usize = 96;

/// Checks that `text` is a valid identifier; `kind` names it in errors.
pub(super) fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        let length = text.len();
        return Err(NameError::TooLong {
            kind,
            limit: MAX_NAME_BYTES,
            length,
        });
    }
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.');
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(NameError::BadCharacter { kind, character }),
        None => Ok(()),
    }
}
