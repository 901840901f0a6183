use std::{net::TcpListener, time::Duration};

use smol::{Async, Timer};

use super::CallerConnection;
use crate::{
    http::HttpStream,
    process::{LocalTasks, Shared},
};

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of callers.
#[derive(Debug)]
pub struct CallerFront {
    shared: Shared,
    connections: LocalTasks,
}

impl CallerFront {
    /// Creates the front. Connections run as tasks of `connections`.
    #[must_use]
    pub const fn new(shared: Shared, connections: LocalTasks) -> Self {
        Self {
            shared,
            connections,
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        loop {
            let stream = match listener.accept().await {
                Ok((socket, _)) => HttpStream::new(socket),
                Err(error) => Err(error),
            };
            match stream {
                Ok(stream) => {
                    let connection = CallerConnection::new(Shared::clone(&self.shared), stream);
                    self.connections.spawn(connection.run());
                }
                Err(error) => {
                    slog::warn!(self.shared.log, "caller: Accept failed."; "error" => %error);
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
