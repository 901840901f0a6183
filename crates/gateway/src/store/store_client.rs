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
        BodyFraming, BodyReader, HeadError, HeaderList, HttpStream, RequestHead, ResponseHead,
        response_framing,
    },
    targets::within,
};

/// Timeout for opening a connection to the store, which normally takes
/// milliseconds.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Timeout for a response. It is longer than the response time above which the
/// platform itself regards a call as unanswered.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);
/// Maximum size of a response body, in bytes. Values are up to a megabyte and
/// base64-encoded.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Status of a watch whose changes have been compacted away.
const STATUS_GONE: u16 = 410;

/// Client of the platform's store. It uses one connection.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    stream: Option<HttpStream>,
    /// Latest era that the store has reported.
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

    /// Reads one page of the items under `prefix`, starting after the key `last`.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't respond with a page in time, or with one of an
    /// earlier era than before.
    pub async fn read_page(
        &mut self,
        prefix: &str,
        last: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        let path = paths::read_range(prefix, last);
        let (body, era) = self.get(&path, RESPONSE_TIMEOUT).await?;
        Ok(decode_page(&body, era)?)
    }

    /// Waits up to `wait` for changes under `prefix` after the revision `after`.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't respond in time, cuts the watch, has compacted
    /// the changes away, or was restored since `after`.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: StoreRevision,
        wait: TimeSpan,
    ) -> Result<StoreUpdate, StoreError> {
        let path = paths::watch(prefix, after.number.get(), wait.as_millis());
        let response = self.get(&path, wait + RESPONSE_TIMEOUT).await;
        let (body, era) = response.map_err(StoreError::during_watch)?;
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
        let response = within(timeout, exchange(&mut stream, self.address, path)).await;
        let (head, body, is_reusable) = response.ok_or(StoreError::Timeout)??;
        let era = era_of(&head)?;
        if era < self.era {
            // A delayed response, or the rest of an earlier one. The connection
            // can't be reused.
            return Err(StoreError::StaleEra);
        }
        self.era = era;
        if is_reusable {
            self.stream = Some(stream);
        }
        match head.status {
            200 => Ok((body, era)),
            STATUS_GONE => Err(StoreError::HistoryCompacted),
            other => Err(StoreError::Status(other)),
        }
    }

    async fn connect(&self) -> Result<HttpStream, StoreError> {
        let connected = within(CONNECT_TIMEOUT, HttpStream::connect(self.address)).await;
        let stream = connected.ok_or(StoreError::Timeout)?;
        stream.map_err(|error| StoreError::Unreachable(error.to_string()))
    }
}

/// Era that a response reports. A store that reports none has never been
/// restored.
fn era_of(head: &ResponseHead) -> Result<EraNumber, StoreError> {
    let Some(text) = head.headers.text(headers::STORE_ERA) else {
        return Ok(EraNumber::ZERO);
    };
    let number = text.trim().parse().map(EraNumber::new);
    number.map_err(|_| StoreError::Unreachable(format!("era `{text}` is not a number")))
}

async fn exchange(
    stream: &mut HttpStream,
    address: SocketAddr,
    path: &str,
) -> Result<(ResponseHead, Bytes, bool), StoreError> {
    let mut headers = HeaderList::default();
    headers.push("Host", address.to_string());
    let head = RequestHead::encode(b"GET", path.as_bytes(), &headers);
    stream.write(&head).await?;
    let head = stream.read_response().await?;
    let framing = response_framing(head.status, &head.headers);
    let framing = framing.map_err(HeadError::from)?;
    let body = BodyReader::new(framing)
        .collect(stream, MAX_BODY_BYTES)
        .await?;
    let is_reusable = !head.closes() && framing != BodyFraming::UntilClose;
    Ok((head, body, is_reusable))
}
