use std::net::TcpListener;

use smol::Async;

use super::CallerConnection;
use crate::process::{LocalTasks, Shared, accept_each};

/// Accepts connections from callers.
#[derive(Debug)]
pub struct CallerListener {
    shared: Shared,
    connections: LocalTasks,
}

impl CallerListener {
    /// Creates the listener. Each connection runs as a task of `connections`.
    #[must_use]
    pub const fn new(shared: Shared, connections: LocalTasks) -> Self {
        Self {
            shared,
            connections,
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        accept_each(&self.shared, "callers", listener, |stream| {
            let connection = CallerConnection::new(Shared::clone(&self.shared), stream);
            self.connections.spawn(connection.run());
        })
        .await;
    }
}
