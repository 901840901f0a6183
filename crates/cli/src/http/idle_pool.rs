use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use smol::net::TcpStream;

use crate::consts::IDLE_LIMIT;

/// Connections that wait for the next call.
#[derive(Debug, Default)]
pub(super) struct IdlePool {
    nodes: Mutex<HashMap<SocketAddr, Vec<IdleStream>>>,
}

#[derive(Debug)]
struct IdleStream {
    stream: TcpStream,
    since: Instant,
}

impl IdlePool {
    /// Takes the connection that was used last, if it is young enough.
    pub(super) fn take(&self, node: SocketAddr) -> Option<TcpStream> {
        let mut nodes = self.lock();
        let streams = nodes.get_mut(&node)?;
        let newest = streams.pop()?;
        if newest.since.elapsed() < IDLE_LIMIT {
            return Some(newest.stream);
        }
        streams.clear();
        None
    }

    /// Keeps a connection for the next call.
    pub(super) fn put(&self, node: SocketAddr, stream: TcpStream) {
        let since = Instant::now();
        let idle = IdleStream { stream, since };
        self.lock().entry(node).or_default().push(idle);
    }

    /// Forgets all connections to a node.
    pub(super) fn clear(&self, node: SocketAddr) {
        self.lock().remove(&node);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleStream>>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
