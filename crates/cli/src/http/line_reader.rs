use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::Body;

use super::{ClientError, NodeAnswer};
use crate::consts::LINE_LIMIT;

/// Reads the body of an answer line by line.
#[derive(Debug)]
pub struct LineReader {
    answer: NodeAnswer,
    body: Body,
}

impl LineReader {
    /// Creates a reader of `body`, which belongs to `answer`.
    pub(super) fn new(answer: NodeAnswer, body: Body) -> Self {
        Self { answer, body }
    }

    /// The next line without its line break; nothing at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails when the line is too long or the connection breaks.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, ClientError> {
        let mut line = Vec::new();
        let mut bounded = (&mut self.body).take(LINE_LIMIT.as_bytes());
        let read = bounded.read_until(b'\n', &mut line).await;
        read.map_err(|error| self.answer.broken(&error.to_string()))?;
        if line.is_empty() {
            return Ok(None);
        }
        if line.pop() != Some(b'\n') {
            return Err(self.answer.broken("a line is cut off or too long"));
        }
        Ok(Some(line))
    }

    /// Keeps the connection after the last line.
    ///
    /// # Errors
    ///
    /// Fails when the body has more lines or does not end.
    pub async fn finish(mut self) -> Result<(), ClientError> {
        if self.next().await?.is_some() {
            return Err(self.answer.broken("there are lines after the last one"));
        }
        self.answer.keep();
        Ok(())
    }
}
