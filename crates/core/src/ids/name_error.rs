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
    /// The text contains a control character, which no header can hold.
    #[error("a {kind} holds no control characters, such as {character:?}")]
    ControlCharacter {
        /// Kind of identifier, such as `workspace name`.
        kind: &'static str,
        /// The first control character.
        character: char,
    },
    /// The text begins or ends with a space, which a header does not preserve.
    #[error("a {kind} neither begins nor ends with a space")]
    OuterSpace {
        /// Kind of identifier, such as `workspace name`.
        kind: &'static str,
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

/// Maximum length of an identifier of this project, in bytes.
const MAX_ID_BYTES: usize = 96;
/// Maximum length of a name that others have chosen, in bytes. Longer ones do not fit
/// in the head of a message.
const MAX_NAME_BYTES: usize = 4_096;

/// Checks that `text` is a valid identifier; `kind` names it in errors.
pub(super) fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    check_limit(kind, text, MAX_ID_BYTES)?;
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.');
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(NameError::BadCharacter { kind, character }),
        None => Ok(()),
    }
}

/// Checks that `text` is a name that others may have chosen; `kind` names it in errors.
pub(super) fn check_length(kind: &'static str, text: &str) -> Result<(), NameError> {
    check_limit(kind, text, MAX_NAME_BYTES)
}

fn check_limit(kind: &'static str, text: &str, limit: usize) -> Result<(), NameError> {
    match text.len() {
        0 => Err(NameError::Empty { kind }),
        length if length > limit => Err(NameError::TooLong {
            kind,
            limit,
            length,
        }),
        _ => Ok(()),
    }
}
