use std::{net::SocketAddr, time::Duration};

use async_h1::client;
use http_types::{Method, Request, Response, StatusCode, Url};
use smol::{Timer, net::TcpStream};
use verbenahub_core::protocol::headers::RETRY_AFTER_MS;

use super::LoadTicket;
use crate::weights::WEIGHTS_PATH;

/// Pause before the next try when the weight store does not name one.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);
/// Tries until a load goes on without weights.
const TRY_LIMIT: usize = 100;

/// Where an engine loads weights from.
#[derive(Clone, Copy, Debug)]
pub struct WeightSource {
    /// Address of the weight store, if there is one.
    pub store: Option<SocketAddr>,
    /// Time that a load takes after the download.
    pub load: Duration,
}

impl WeightSource {
    /// Downloads the weights of a load, as often as the store refuses them.
    pub async fn fetch(&self, ticket: &LoadTicket) {
        let Some(store) = self.store else { return };
        for _ in 0..TRY_LIMIT {
            match download(store, ticket).await {
                Ok(response) if response.status() == StatusCode::Ok => return,
                Ok(response) => Timer::after(pause_of(&response)).await,
                Err(_) => Timer::after(DEFAULT_PAUSE).await,
            };
        }
    }
}

async fn download(store: SocketAddr, ticket: &LoadTicket) -> http_types::Result<Response> {
    let (model, version) = (&ticket.model, &ticket.version);
    let url = Url::parse(&format!("http://{store}{WEIGHTS_PATH}{model}/{version}"))?;
    let stream = TcpStream::connect(store).await?;
    let mut response = client::connect(stream, Request::new(Method::Get, url)).await?;
    response.body_bytes().await?;
    Ok(response)
}

fn pause_of(response: &Response) -> Duration {
    let header = response.header(RETRY_AFTER_MS);
    header
        .and_then(|values| values.as_str().parse().ok())
        .map_or(DEFAULT_PAUSE, Duration::from_millis)
}
