use std::{io, net::SocketAddr, sync::Arc};

use futures_lite::FutureExt;
use smol::{Timer, net::TcpStream};

use super::{ClientError, NodeAnswer, OutgoingCall, idle_pool::IdlePool};
use crate::consts::CONNECT_TIMEOUT;

/// Sends calls to nodes. Clones share the kept connections.
#[derive(Clone, Debug, Default)]
pub struct NodeClient {
    pool: Arc<IdlePool>,
}

impl NodeClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a call and waits for the head of the answer.
    ///
    /// A kept connection may have been closed by the node in the meantime;
    /// the call is then sent once more over a new one. All calls of the tool
    /// may be repeated: a ticket runs at most once, and a first call that
    /// would not be idempotent runs nothing.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection, or no answer in HTTP.
    pub async fn send(
        &self,
        node: SocketAddr,
        call: &OutgoingCall,
    ) -> Result<NodeAnswer, ClientError> {
        if let Some(stream) = self.pool.take(node) {
            match self.exchange(node, stream, call).await {
                Ok(answer) => return Ok(answer),
                Err(_) => self.pool.clear(node),
            }
        }
        let stream = connect(node)
            .await
            .map_err(|source| ClientError::Connect { node, source })?;
        self.exchange(node, stream, call).await
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        stream: TcpStream,
        call: &OutgoingCall,
    ) -> Result<NodeAnswer, ClientError> {
        let broken = |message: String| ClientError::Broken { node, message };
        let request = call
            .to_request(node)
            .ok_or_else(|| broken(format!("`{}` is not a path", call.path)))?;
        let response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(|error| broken(error.to_string()))?;
        let pool = Arc::clone(&self.pool);
        Ok(NodeAnswer::new(node, stream, response, pool))
    }
}

async fn connect(node: SocketAddr) -> io::Result<TcpStream> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(node).or(timeout).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
