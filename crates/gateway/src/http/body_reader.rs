use std::io;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

use super::{BodyFraming, HttpStream};

/// Longest line that announces a chunk, extensions included.
const CHUNK_LINE_BYTES: usize = 256;
/// Bytes of trailers that are skipped at most.
const TRAILER_BYTES: usize = 8 << 10;
/// Hexadecimal digits of a chunk's size at most, so that it fits 64 bits.
const SIZE_DIGITS: usize = 15;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke.
    #[error("connection broke: {0}")]
    Io(#[from] io::Error),
    /// The connection ended inside the body.
    #[error("connection ended inside a body")]
    Truncated,
    /// A chunk is not as it should be.
    #[error("malformed chunk")]
    Chunk,
    /// The body is larger than allowed.
    #[error("body of more than {0} bytes")]
    TooLarge(usize),
}

/// Reads one body from a stream.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: ReadState,
}

#[derive(Clone, Copy, Debug)]
enum ReadState {
    /// So many bytes are due.
    Length(u64),
    /// The line of the next chunk is due.
    ChunkLine,
    /// So many bytes of a chunk are due, then the end of its line.
    Chunk(u64),
    /// Everything up to the end of the connection is due.
    UntilClose,
    Done,
}

impl BodyReader {
    /// Creates the reader of a body.
    #[must_use]
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => ReadState::Length(length),
            BodyFraming::Chunked => ReadState::ChunkLine,
            BodyFraming::UntilClose => ReadState::UntilClose,
        };
        Self { state }
    }

    /// The next bytes of the body, or nothing at its end.
    ///
    /// # Errors
    ///
    /// Fails when the body doesn't reach its end.
    pub async fn next(&mut self, stream: &mut HttpStream) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.state {
                ReadState::Length(0) => self.state = ReadState::Done,
                ReadState::Length(left) => {
                    let bytes = take_some(stream, left).await?;
                    self.state = ReadState::Length(left - length(&bytes));
                    return Ok(Some(bytes));
                }
                ReadState::ChunkLine => {
                    let size = read_chunk_size(stream).await?;
                    if size == 0 {
                        skip_trailers(stream).await?;
                        self.state = ReadState::Done;
                    } else {
                        self.state = ReadState::Chunk(size);
                    }
                }
                ReadState::Chunk(0) => {
                    if !read_line(stream, CHUNK_LINE_BYTES).await?.is_empty() {
                        return Err(BodyError::Chunk);
                    }
                    self.state = ReadState::ChunkLine;
                }
                ReadState::Chunk(left) => {
                    let bytes = take_some(stream, left).await?;
                    self.state = ReadState::Chunk(left - length(&bytes));
                    return Ok(Some(bytes));
                }
                ReadState::UntilClose => {
                    if stream.buffer.is_empty() && stream.fill().await? == 0 {
                        self.state = ReadState::Done;
                        return Ok(None);
                    }
                    return Ok(Some(stream.buffer.split().freeze()));
                }
                ReadState::Done => return Ok(None),
            }
        }
    }

    /// The whole body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body doesn't reach its end or is too large.
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
}

fn length(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

async fn take_some(stream: &mut HttpStream, most: u64) -> Result<Bytes, BodyError> {
    if stream.buffer.is_empty() && stream.fill().await? == 0 {
        return Err(BodyError::Truncated);
    }
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let count = stream.buffer.len().min(most);
    Ok(stream.buffer.split_to(count).freeze())
}

/// Reads up to the end of a line, which is not returned. Only a carriage
/// return with a line feed ends a line.
async fn read_line(stream: &mut HttpStream, limit: usize) -> Result<Bytes, BodyError> {
    loop {
        let end = stream.buffer.windows(2).position(|pair| pair == b"\r\n");
        if let Some(end) = end {
            let line = stream.buffer.split_to(end).freeze();
            stream.buffer.advance(2);
            return Ok(line);
        }
        if stream.buffer.len() > limit {
            return Err(BodyError::Chunk);
        }
        if stream.fill().await? == 0 {
            return Err(BodyError::Truncated);
        }
    }
}

async fn read_chunk_size(stream: &mut HttpStream) -> Result<u64, BodyError> {
    let line = read_line(stream, CHUNK_LINE_BYTES).await?;
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_size = !digits.is_empty()
        && digits.len() <= SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_size);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(BodyError::Chunk)
}

async fn skip_trailers(stream: &mut HttpStream) -> Result<(), BodyError> {
    let mut skipped = 0;
    loop {
        let line = read_line(stream, TRAILER_BYTES).await?;
        if line.is_empty() {
            return Ok(());
        }
        skipped += line.len();
        if skipped > TRAILER_BYTES {
            return Err(BodyError::Chunk);
        }
    }
}
