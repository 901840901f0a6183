use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU8, Ordering},
};

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// An address that nobody listens on.
///
/// Each is on a loopback address of its own, away from the ports that the
/// system gives to outgoing connections, so it stays free over restarts.
///
/// # Panics
///
/// Panics when the system gives no port.
#[must_use]
pub fn free_address() -> SocketAddr {
    let pid = process::id().to_le_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::SeqCst);
    let address = Ipv4Addr::new(127, pid[1] | 0x80, pid[0], host);
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    listener.local_addr().expect("the address of a listener")
}
