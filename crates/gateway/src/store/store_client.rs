use std::net::SocketAddr;

use bytes::Bytes;
use verbenahub_core::{clock::TimeSpan, ids::RevisionNumber};
use verbenahub_platform::{StorePage, StoreUpdate, decode_page, decode_update, paths};

use super::StoreError;
use crate::{
    http::{BodyFraming, BodyReader, HeaderList, HttpStream, RequestHead, response_framing},
    targets::within,
};

/// Time for a new connection to the store, which answers in milliseconds.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Time for an answer. Longer than the slowest answers that the platform still
/// calls an answer.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);
/// Largest answer: a value of a megabyte in base64, and its surroundings.
const ANSWER_BYTES: usize = 8 << 20;
/// Status of a watch whose history is gone.
const GONE: u16 = 410;

/// The client of the platform's store, on one connection.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    stream: Option<HttpStream>,
}

impl StoreClient {
    /// Creates a client without a connection.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Reads one page of the items under `prefix`, after the key `last`.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't answer with a page.
    pub async fn page(
        &mut self,
        prefix: &str,
        last: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        let body = self
            .get(&paths::read_range(prefix, last), ANSWER_TIMEOUT)
            .await?;
        Ok(decode_page(&body)?)
    }

    /// Waits up to `wait` for changes under `prefix` after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't answer, or has forgotten the changes.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: RevisionNumber,
        wait: TimeSpan,
    ) -> Result<StoreUpdate, StoreError> {
        let path = paths::watch(prefix, after.get(), wait.as_millis());
        let body = self.get(&path, wait + ANSWER_TIMEOUT).await?;
        Ok(decode_update(&body)?)
    }

    async fn get(&mut self, path: &str, timeout: TimeSpan) -> Result<Bytes, StoreError> {
        let mut stream = match self.stream.take() {
            Some(stream) if stream.is_quiet() => stream,
            _ => self.connect().await?,
        };
        let answer = within(timeout, exchange(&mut stream, self.address, path)).await;
        let (status, body, keeps) = answer.ok_or(StoreError::Silent)??;
        if keeps {
            self.stream = Some(stream);
        }
        match status {
            200 => Ok(body),
            GONE => Err(StoreError::HistoryGone),
            other => Err(StoreError::Status(other)),
        }
    }

    async fn connect(&self) -> Result<HttpStream, StoreError> {
        let connected = within(CONNECT_TIMEOUT, HttpStream::connect(self.address)).await;
        let stream = connected.ok_or(StoreError::Silent)?;
        stream.map_err(|error| StoreError::Unreachable(error.to_string()))
    }
}

async fn exchange(
    stream: &mut HttpStream,
    address: SocketAddr,
    path: &str,
) -> Result<(u16, Bytes, bool), StoreError> {
    let broken = |error: &dyn ToString| StoreError::Unreachable(error.to_string());
    let mut headers = HeaderList::default();
    headers.push("Host", address.to_string());
    let head = RequestHead::encode(b"GET", path.as_bytes(), &headers);
    stream.write(&head).await.map_err(|error| broken(&error))?;
    let head = stream
        .read_response()
        .await
        .map_err(|error| broken(&error))?;
    let framing = response_framing(head.status, &head.headers);
    let framing = framing.map_err(|error| broken(&error))?;
    let body = BodyReader::new(framing).collect(stream, ANSWER_BYTES).await;
    let body = body.map_err(|error| broken(&error))?;
    let keeps = !head.closes() && framing != BodyFraming::UntilClose;
    Ok((head.status, body, keeps))
}
