use std::{
    future,
    io::Result,
    net::{Shutdown, SocketAddr},
    sync::Arc,
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, future::zip};
use smol::{
    Executor, Task, block_on,
    net::{TcpListener, TcpStream},
};

use super::{RelayMode, relay_state::RelayState};

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Passes TCP connections on, and fails on demand.
///
/// All connections end with the relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<RelayState>,
    _task: Task<()>,
}

impl Relay {
    /// Starts a relay to a target at an address that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen.
    pub fn start(target: SocketAddr) -> Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a relay to a target at a given address.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen.
    pub fn start_at(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = block_on(TcpListener::bind(listen))?;
        let address = listener.local_addr()?;
        let state = Arc::<RelayState>::default();
        let task = smol::spawn(serve(listener, target, state.clone()));
        Ok(Self {
            address,
            state,
            _task: task,
        })
    }

    /// Where the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the relay does with what comes.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.set_mode(mode);
    }

    /// Breaks all open connections; new ones work.
    pub fn cut_open(&self) {
        self.state.cut_open();
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_open(&self) {
        self.state.silence_open();
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, state: Arc<RelayState>) {
    let executor = Executor::new();
    let accepting = async {
        loop {
            let Ok((near, _)) = listener.accept().await else {
                continue;
            };
            let state = state.clone();
            executor.spawn(pass_on(near, target, state)).detach();
        }
    };
    executor.run(accepting).await;
}

async fn pass_on(near: TcpStream, target: SocketAddr, state: Arc<RelayState>) {
    let number = state.accept();
    state.flowing().await;
    if state.mode() == RelayMode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    state.enter(number, [near.clone(), far.clone()]);
    let forth = pump(near.clone(), far.clone(), number, &state);
    let back = pump(far, near, number, &state);
    zip(forth, back).await;
    state.leave(number);
}

async fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, state: &RelayState) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        state.flowing().await;
        if state.is_silent(number) {
            if count == 0 {
                future::pending::<()>().await;
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
