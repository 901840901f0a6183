use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use futures_lite::future;
use smol::{Async, Timer};

use super::Shared;
use crate::http::HttpStream;

/// Pause after a failed accept, so that the loop doesn't spin while the process
/// is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Opens a listening TCP socket on `address`.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Passes each accepted connection to `handle`, until the future is dropped.
/// `part` names the listener in the log.
pub async fn accept_each<Handle>(
    shared: &Shared,
    part: &'static str,
    listener: Async<TcpListener>,
    handle: Handle,
) where
    Handle: Fn(HttpStream),
{
    loop {
        let stream = match listener.accept().await {
            Ok((socket, _)) => HttpStream::new(socket),
            Err(error) => Err(error),
        };
        match stream {
            Ok(stream) => {
                handle(stream);
                // Tasks that are due run also while connections keep coming.
                future::yield_now().await;
            }
            Err(error) => {
                slog::warn!(shared.log, "accept: Could not accept a connection.";
                    "part" => part, "error" => %error);
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
