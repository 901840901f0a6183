use verbenahub_core::protocol::{BodyFraming, FramingError};

use super::HeaderList;

/// Framing of a request body. Without a declaration the body is empty.
///
/// # Errors
///
/// Fails for headers that two parsers could interpret differently, which would
/// allow request smuggling.
pub fn request_framing(headers: &HeaderList) -> Result<BodyFraming, FramingError> {
    Ok(declared_framing(headers)?.unwrap_or(BodyFraming::Length(0)))
}

/// Framing of the body of a response with `status`. Without a declaration the
/// body ends with the connection.
///
/// # Errors
///
/// Fails for the same headers as [`request_framing`].
pub fn response_framing(status: u16, headers: &HeaderList) -> Result<BodyFraming, FramingError> {
    if status == 204 || status == 304 {
        return Ok(BodyFraming::Length(0));
    }
    Ok(declared_framing(headers)?.unwrap_or(BodyFraming::UntilClose))
}

/// Framing that headers declare, if any.
///
/// # Errors
///
/// Fails for the same headers as [`request_framing`].
pub(super) fn declared_framing(headers: &HeaderList) -> Result<Option<BodyFraming>, FramingError> {
    let values = |name| headers.all(name).map(|value| &value[..]);
    BodyFraming::declared(values("content-length"), values("transfer-encoding"))
}
