use super::{HeadError, HeaderList};

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// Where the body of a message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After a number of bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

impl BodyFraming {
    /// Framing of a request's body.
    ///
    /// # Errors
    ///
    /// Refuses what two readers could understand in two ways: several lengths,
    /// a length together with chunks, any other transfer coding.
    pub fn of_request(headers: &HeaderList) -> Result<Self, HeadError> {
        let framing = Self::declared(headers)?;
        Ok(framing.unwrap_or(Self::Length(0)))
    }

    /// Framing of the body of a response with `status`.
    ///
    /// # Errors
    ///
    /// As for requests.
    pub fn of_response(status: u16, headers: &HeaderList) -> Result<Self, HeadError> {
        if status == 204 || status == 304 {
            return Ok(Self::Length(0));
        }
        let framing = Self::declared(headers)?;
        Ok(framing.unwrap_or(Self::UntilClose))
    }

    fn declared(headers: &HeaderList) -> Result<Option<Self>, HeadError> {
        let mut codings = headers.all(TRANSFER_ENCODING);
        let mut lengths = headers.all(CONTENT_LENGTH);
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(HeadError::Framing("more than one length"));
        }
        let Some(coding) = codings.next() else {
            return length.map(|value| parse_length(value)).transpose();
        };
        if length.is_some() {
            return Err(HeadError::Framing("a length and chunks"));
        }
        if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
            return Err(HeadError::Framing("unknown transfer coding"));
        }
        Ok(Some(Self::Chunked))
    }
}

fn parse_length(value: &[u8]) -> Result<BodyFraming, HeadError> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    let length = text.and_then(|text| text.parse().ok());
    let length = length.ok_or(HeadError::Framing("length is not a number"))?;
    Ok(BodyFraming::Length(length))
}
