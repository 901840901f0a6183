use verbenahub_core::protocol::{BodyFraming, FramingError};

use super::HeaderList;

/// Framing of a request's body.
///
/// # Errors
///
/// Refuses what two readers could understand in two ways.
pub fn request_framing(headers: &HeaderList) -> Result<BodyFraming, FramingError> {
    Ok(declared(headers)?.unwrap_or(BodyFraming::Length(0)))
}

/// Framing of the body of a response with `status`.
///
/// # Errors
///
/// As for requests.
pub fn response_framing(status: u16, headers: &HeaderList) -> Result<BodyFraming, FramingError> {
    if status == 204 || status == 304 {
        return Ok(BodyFraming::Length(0));
    }
    Ok(declared(headers)?.unwrap_or(BodyFraming::UntilClose))
}

fn declared(headers: &HeaderList) -> Result<Option<BodyFraming>, FramingError> {
    let values = |name| headers.all(name).map(|value| &value[..]);
    BodyFraming::declared(values("content-length"), values("transfer-encoding"))
}
