use thiserror::Error;

/// How the end of an HTTP message body is determined (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this number of bytes.
    Length(u64),
    /// After the last chunk of the chunked transfer coding.
    Chunked,
    /// When the connection is closed.
    UntilClose,
}

/// Error for a message head whose framing headers are invalid or ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// More than one `Content-Length` header.
    #[error("more than one Content-Length header")]
    SeveralLengths,
    /// A `Content-Length` that is not a whole number, written in decimal digits
    /// only, or that does not fit into 64 bits.
    #[error("Content-Length is not a number")]
    BadLength,
    /// Both `Content-Length` and `Transfer-Encoding`.
    #[error("both Content-Length and Transfer-Encoding")]
    LengthAndCoding,
    /// Any transfer coding other than a single `chunked`.
    #[error("unsupported transfer coding")]
    UnknownCoding,
}

impl BodyFraming {
    /// Returns the framing declared by the values of the `Content-Length` and
    /// `Transfer-Encoding` headers of a message, or `None` without such headers.
    ///
    /// # Errors
    ///
    /// Fails when two implementations could interpret the headers differently.
    pub fn declared<'a, Lengths, Codings>(
        mut lengths: Lengths,
        mut codings: Codings,
    ) -> Result<Option<Self>, FramingError>
    where
        Lengths: Iterator<Item = &'a [u8]>,
        Codings: Iterator<Item = &'a [u8]>,
    {
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(FramingError::SeveralLengths);
        }
        let Some(coding) = codings.next() else {
            return length.map(parse_length).transpose();
        };
        if length.is_some() {
            return Err(FramingError::LengthAndCoding);
        }
        if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::UnknownCoding);
        }
        Ok(Some(Self::Chunked))
    }
}

fn parse_length(value: &[u8]) -> Result<BodyFraming, FramingError> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    let length = text.and_then(|text| text.parse().ok());
    length
        .map(BodyFraming::Length)
        .ok_or(FramingError::BadLength)
}
