use thiserror::Error;

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

/// A head that leaves in doubt where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// More than one length.
    #[error("more than one length")]
    SeveralLengths,
    /// A length that is no whole number.
    #[error("the length is not a number")]
    BadLength,
    /// A length together with chunks.
    #[error("a length and a transfer coding")]
    LengthAndCoding,
    /// A transfer coding other than chunks alone.
    #[error("unknown transfer coding")]
    UnknownCoding,
}

impl BodyFraming {
    /// Framing that a head declares by the values of its `Content-Length` and
    /// `Transfer-Encoding` headers, if it declares any.
    ///
    /// # Errors
    ///
    /// Refuses what two readers could understand in two ways.
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
