use std::net::SocketAddr;

use bytes::Bytes;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{EraNumber, StoreRevision},
};
use verbenahub_platform::{StorePage, StoreUpdate, decode_page, decode_update, headers, paths};

use super::StoreError;
use crate::{
    http::{
        BodyFraming, BodyReader, HeaderList, HttpStream, RequestHead, ResponseHead,
        response_framing,
    },
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
    /// The last era that the store has told.
    era: EraNumber,
}

impl StoreClient {
    /// Creates a client without a connection.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            era: EraNumber::ZERO,
        }
    }

    /// Reads one page of the items under `prefix`, after the key `last`.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't answer with a page.
    pub async fn read_page(
        &mut self,
        prefix: &str,
        last: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        let path = paths::read_range(prefix, last);
        let (body, era) = self.get(&path, ANSWER_TIMEOUT).await?;
        Ok(decode_page(&body, era)?)
    }

    /// Waits up to `wait` for changes under `prefix` after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't answer, has forgotten the changes, or gives
    /// those of another era.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: StoreRevision,
        wait: TimeSpan,
    ) -> Result<StoreUpdate, StoreError> {
        let path = paths::watch(prefix, after.number.get(), wait.as_millis());
        let (body, era) = self.get(&path, wait + ANSWER_TIMEOUT).await?;
        if era != after.era {
            return Err(StoreError::Restored);
        }
        Ok(decode_update(&body, era)?)
    }

    async fn get(
        &mut self,
        path: &str,
        timeout: TimeSpan,
    ) -> Result<(Bytes, EraNumber), StoreError> {
        let mut stream = match self.stream.take() {
            Some(stream) if stream.is_reusable() => stream,
            _ => self.connect().await?,
        };
        let answer = within(timeout, exchange(&mut stream, self.address, path)).await;
        let (head, body, keeps) = answer.ok_or(StoreError::Timeout)??;
        let era = era_of(&head)?;
        if era < self.era {
            // Late, or the rest of an earlier answer: the connection is not
            // to be trusted.
            return Err(StoreError::StaleEra);
        }
        self.era = era;
        if keeps {
            self.stream = Some(stream);
        }
        match head.status {
            200 => Ok((body, era)),
            GONE => Err(StoreError::HistoryCompacted),
            other => Err(StoreError::Status(other)),
        }
    }

    async fn connect(&self) -> Result<HttpStream, StoreError> {
        let connected = within(CONNECT_TIMEOUT, HttpStream::connect(self.address)).await;
        let stream = connected.ok_or(StoreError::Timeout)?;
        stream.map_err(|error| StoreError::Unreachable(error.to_string()))
    }
}

/// The era that an answer tells. A store that tells none has never been
/// restored.
fn era_of(head: &ResponseHead) -> Result<EraNumber, StoreError> {
    let Some(text) = head.headers.text(headers::STORE_ERA) else {
        return Ok(EraNumber::ZERO);
    };
    let number = text.trim().parse().map(EraNumber::new);
    number.map_err(|_| StoreError::Unreachable(format!("era `{text}` is no number")))
}

async fn exchange(
    stream: &mut HttpStream,
    address: SocketAddr,
    path: &str,
) -> Result<(ResponseHead, Bytes, bool), StoreError> {
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
    Ok((head, body, keeps))
}
