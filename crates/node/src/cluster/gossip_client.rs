use std::{net::SocketAddr, sync::Arc};

use http_types::{Method, Request, Url};
use verbenahub_core::{
    clock::TimeSpan,
    cluster::{GossipCall, GossipReply},
    protocol::headers,
    settings::ClusterSecret,
};

use super::{
    CallBodyError,
    gossip_endpoint::{GOSSIP_PATH, MESSAGE_LIMIT},
};
use crate::{
    connection::{ClientPool, ConnectionChoice},
    consts::MESSAGE_TYPE,
};

/// Calls other nodes.
#[derive(Clone, Debug)]
pub(super) struct GossipClient {
    pool: Arc<ClientPool>,
    secret: ClusterSecret,
}

impl GossipClient {
    pub(super) const fn new(pool: Arc<ClientPool>, secret: ClusterSecret) -> Self {
        Self { pool, secret }
    }

    /// Makes a call. After a failure no old connection to the address is used
    /// again, since it may have gone silent while new ones work.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        call: &GossipCall,
        timeout: TimeSpan,
    ) -> Result<GossipReply, CallBodyError> {
        let result = self.exchange(address, call, timeout).await;
        if result.is_err() {
            self.pool.close_idle(address);
        }
        result
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &GossipCall,
        timeout: TimeSpan,
    ) -> Result<GossipReply, CallBodyError> {
        let url = Url::parse(&format!("http://{address}{GOSSIP_PATH}"))?;
        let mut request = Request::new(Method::Post, url);
        request.insert_header(headers::CLUSTER_SECRET, self.secret.expose());
        request.set_body(rmp_serde::to_vec(call)?);
        request.insert_header("content-type", MESSAGE_TYPE);
        let choice = ConnectionChoice::Reuse;
        let response = self.pool.call(address, request, choice, timeout).await?;
        if !response.status().is_success() {
            return Err(CallBodyError::Status(response.status()));
        }
        let body = response.into_body(MESSAGE_LIMIT, timeout).await?;
        Ok(rmp_serde::from_slice(&body)?)
    }
}
