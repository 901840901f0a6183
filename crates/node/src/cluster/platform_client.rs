use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use http_types::{Method, Request, Url};
use verbenahub_core::{
    clock::TimeSpan,
    cluster::timings::READ_SLACK,
    ids::RevisionNumber,
    protocol::{FeedPage, paths},
    units::ByteSize,
};

use super::CallBodyError;
use crate::connection::{ClientPool, ConnectionChoice};

/// Largest page, with the overhead of its text form.
const PAGE_LIMIT: ByteSize = ByteSize::from_mib(4);

/// Reads one feed of the platform.
#[derive(Debug)]
pub(super) struct PlatformClient {
    pool: Arc<ClientPool>,
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
}

impl PlatformClient {
    pub(super) fn new(pool: Arc<ClientPool>, addresses: Vec<SocketAddr>) -> Self {
        let current = AtomicUsize::new(fastrand::usize(..));
        Self {
            pool,
            addresses,
            current,
        }
    }

    /// Reads the changes after a revision. After a failure the next address
    /// is used.
    pub(super) async fn read(
        &self,
        after: RevisionNumber,
        wait: TimeSpan,
    ) -> Result<FeedPage, CallBodyError> {
        let current = self.current.load(Ordering::Relaxed);
        let count = self.addresses.len().max(1);
        let address = self.addresses.get(current % count);
        let address = *address.ok_or(CallBodyError::NoAddress)?;
        let result = self.read_from(address, after, wait).await;
        if result.is_err() {
            self.pool.close_idle(address);
            self.current.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn read_from(
        &self,
        address: SocketAddr,
        after: RevisionNumber,
        wait: TimeSpan,
    ) -> Result<FeedPage, CallBodyError> {
        let path = paths::CHANGES;
        let wait_ms = wait.as_millis();
        let text = format!("http://{address}{path}?after={after}&wait_ms={wait_ms}");
        let request = Request::new(Method::Get, Url::parse(&text)?);
        let timeout = wait + READ_SLACK;
        let choice = ConnectionChoice::Reuse;
        let response = self.pool.call(address, request, choice, timeout).await?;
        if !response.status().is_success() {
            return Err(CallBodyError::Status(response.status()));
        }
        let body = response.into_body(PAGE_LIMIT, READ_SLACK).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
