use std::io;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

use super::{BodyFraming, HttpStream};

/// Maximum length of a chunk-size line, including extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum size of the trailers, which are skipped.
const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Maximum number of hexadecimal digits of a chunk size, so that it fits in 64
/// bits.
const MAX_SIZE_DIGITS: usize = 15;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the end of the body.
    #[error("connection ended inside a body")]
    Truncated,
    /// A chunk size, chunk end or trailer is malformed or too long.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The body exceeds the limit, in bytes.
    #[error("body exceeds {0} bytes")]
    TooLarge(usize),
}

/// Reads one message body from a stream.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: BodyState,
}

#[derive(Clone, Copy, Debug)]
enum BodyState {
    /// Number of bytes left in the body.
    Length(u64),
    /// The next chunk-size line follows.
    ChunkLine,
    /// Number of bytes left in the chunk, before the line end that follows it.
    Chunk(u64),
    /// The body ends with the connection.
    UntilClose,
    Done,
}

impl BodyReader {
    /// Creates a reader at the start of a body.
    #[must_use]
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => BodyState::Length(length),
            BodyFraming::Chunked => BodyState::ChunkLine,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Self { state }
    }

    /// Reads the next bytes of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or ends early, or a chunk is malformed.
    pub async fn next(&mut self, stream: &mut HttpStream) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                BodyState::Length(0) => self.state = BodyState::Done,
                BodyState::Length(left) => {
                    let bytes = read_some(stream, left).await?;
                    self.state = BodyState::Length(left - length(&bytes));
                    return Ok(Some(bytes));
                }
                BodyState::ChunkLine => {
                    let size = read_chunk_size(stream).await?;
                    if size == 0 {
                        skip_trailers(stream).await?;
                        self.state = BodyState::Done;
                    } else {
                        self.state = BodyState::Chunk(size);
                    }
                }
                BodyState::Chunk(0) => {
                    if !read_line(stream, MAX_CHUNK_LINE_BYTES).await?.is_empty() {
                        return Err(BodyError::MalformedChunk);
                    }
                    self.state = BodyState::ChunkLine;
                }
                BodyState::Chunk(left) => {
                    let bytes = read_some(stream, left).await?;
                    self.state = BodyState::Chunk(left - length(&bytes));
                    return Ok(Some(bytes));
                }
                BodyState::UntilClose => {
                    if stream.buffer.is_empty() && stream.fill().await? == 0 {
                        self.state = BodyState::Done;
                        return Ok(None);
                    }
                    return Ok(Some(stream.buffer.split().freeze()));
                }
                BodyState::Done => return Ok(None),
            }
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails when the body is incomplete, malformed or larger than `limit` bytes.
    pub async fn collect(
        mut self,
        stream: &mut HttpStream,
        limit: usize,
    ) -> Result<Bytes, BodyError> {
        let mut whole = BytesMut::new();
        while let Some(bytes) = self.next(stream).await? {
            if whole.len() + bytes.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    }

    /// Reads the complete body without keeping it.
    ///
    /// # Errors
    ///
    /// Fails when the body is incomplete, malformed or larger than `limit` bytes.
    pub async fn skip(mut self, stream: &mut HttpStream, limit: usize) -> Result<(), BodyError> {
        let mut skipped = 0;
        while let Some(bytes) = self.next(stream).await? {
            skipped += bytes.len();
            if skipped > limit {
                return Err(BodyError::TooLarge(limit));
            }
        }
        Ok(())
    }
}

fn length(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

async fn read_some(stream: &mut HttpStream, most: u64) -> Result<Bytes, BodyError> {
    if stream.buffer.is_empty() && stream.fill().await? == 0 {
        return Err(BodyError::Truncated);
    }
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let count = stream.buffer.len().min(most);
    Ok(stream.buffer.split_to(count).freeze())
}

/// Reads a line and returns it without its end. Only CRLF ends a line.
async fn read_line(stream: &mut HttpStream, limit: usize) -> Result<Bytes, BodyError> {
    loop {
        let end = stream.buffer.windows(2).position(|pair| pair == b"\r\n");
        if let Some(end) = end {
            let line = stream.buffer.split_to(end).freeze();
            stream.buffer.advance(2);
            return Ok(line);
        }
        if stream.buffer.len() > limit {
            return Err(BodyError::MalformedChunk);
        }
        if stream.fill().await? == 0 {
            return Err(BodyError::Truncated);
        }
    }
}

async fn read_chunk_size(stream: &mut HttpStream) -> Result<u64, BodyError> {
    let line = read_line(stream, MAX_CHUNK_LINE_BYTES).await?;
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_size = !digits.is_empty()
        && digits.len() <= MAX_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_size);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(BodyError::MalformedChunk)
}

/// Whether a line is a header field, as trailers are.
fn is_field(line: &[u8]) -> bool {
    let lines = [line, b"\r\n\r\n"].concat();
    let mut fields = [httparse::EMPTY_HEADER];
    httparse::parse_headers(&lines, &mut fields).is_ok_and(|status| status.is_complete())
}

async fn skip_trailers(stream: &mut HttpStream) -> Result<(), BodyError> {
    let mut skipped = 0;
    loop {
        let line = read_line(stream, MAX_TRAILER_BYTES).await?;
        if line.is_empty() {
            return Ok(());
        }
        if !is_field(&line) {
            return Err(BodyError::MalformedChunk);
        }
        skipped += line.len();
        if skipped > MAX_TRAILER_BYTES {
            return Err(BodyError::MalformedChunk);
        }
    }
}
