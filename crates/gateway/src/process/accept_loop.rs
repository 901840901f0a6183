use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use smol::{Async, Timer};

use super::Shared;
use crate::http::HttpStream;

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listening socket.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Hands each connection of a listener on until the future is dropped. `part`
/// names the listener in the log.
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
            Ok(stream) => handle(stream),
            Err(error) => {
                slog::warn!(shared.log, "accept: Connection not taken.";
                    "part" => part, "error" => %error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
