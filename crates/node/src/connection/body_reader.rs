use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};
use smol::Timer;
use verbenahub_core::{clock::TimeSpan, units::ByteSize};

use super::BodyError;

/// Initial buffer capacity for a body of unknown length, in bytes.
const INITIAL_BUFFER_BYTES: usize = 4 << 10;

/// Reads a complete body within a size limit and a timeout.
///
/// `length` is the declared length, if any; a body of another length is an error.
///
/// # Errors
///
/// Fails when the body exceeds `limit`, does not have the declared length or
/// does not arrive within `timeout`, or when the connection fails.
pub async fn read_body<Reader>(
    reader: Reader,
    length: Option<usize>,
    limit: ByteSize,
    timeout: TimeSpan,
) -> Result<Bytes, BodyError>
where
    Reader: AsyncRead + Unpin,
{
    if length.is_some_and(|length| length as u64 > limit.as_bytes()) {
        return Err(BodyError::TooLarge(limit));
    }
    let timed_out = async {
        Timer::after(timeout.into()).await;
        Err(BodyError::Timeout)
    };
    read_limited(reader, length, limit).or(timed_out).await
}

async fn read_limited<Reader>(
    reader: Reader,
    length: Option<usize>,
    limit: ByteSize,
) -> Result<Bytes, BodyError>
where
    Reader: AsyncRead + Unpin,
{
    let mut buffer = Vec::with_capacity(length.unwrap_or(INITIAL_BUFFER_BYTES));
    let mut limited = reader.take(limit.as_bytes().saturating_add(1));
    limited.read_to_end(&mut buffer).await?;
    if buffer.len() as u64 > limit.as_bytes() {
        return Err(BodyError::TooLarge(limit));
    }
    match length {
        Some(expected) if buffer.len() != expected => Err(BodyError::Truncated {
            expected,
            received: buffer.len(),
        }),
        _ => Ok(buffer.into()),
    }
}
