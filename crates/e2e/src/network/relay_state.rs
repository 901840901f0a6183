use std::{
    net::Shutdown,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use smol::{Timer, net::TcpStream};

use super::RelayMode;

/// Pause between two looks at a relay that holds things back.
const HOLD_PAUSE: Duration = Duration::from_millis(5);

/// What the connections of a relay share.
#[derive(Debug, Default)]
pub(super) struct RelayState {
    mode: Mutex<RelayMode>,
    accepted: AtomicU64,
    silent_below: AtomicU64,
    open: Mutex<Vec<OpenLink>>,
}

#[derive(Debug)]
struct OpenLink {
    number: u64,
    ends: [TcpStream; 2],
}

impl RelayState {
    pub(super) fn mode(&self) -> RelayMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_mode(&self, mode: RelayMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        if mode == RelayMode::Cut {
            self.cut_open();
        }
    }

    /// Makes all open connections silent for good.
    pub(super) fn silence_open(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.silent_below.store(accepted, Ordering::SeqCst);
    }

    pub(super) fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    /// Numbers a new connection.
    pub(super) fn accept(&self) -> u64 {
        self.accepted.fetch_add(1, Ordering::SeqCst)
    }

    /// Breaks all open connections.
    pub(super) fn cut_open(&self) {
        for link in self.open().drain(..) {
            for end in &link.ends {
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    pub(super) fn enter(&self, number: u64, ends: [TcpStream; 2]) {
        self.open().push(OpenLink { number, ends });
    }

    pub(super) fn leave(&self, number: u64) {
        self.open().retain(|link| link.number != number);
    }

    /// Waits until things may flow.
    pub(super) async fn flowing(&self) {
        while self.mode() == RelayMode::Hold {
            Timer::after(HOLD_PAUSE).await;
        }
    }

    fn open(&self) -> MutexGuard<'_, Vec<OpenLink>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
