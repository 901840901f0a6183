use std::io::Result;

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;
use verbenahub_core::clock::TimeSpan;

/// Waits for SIGTERM or SIGINT, or until the life of the process is over.
pub(super) async fn stopped(max_life: TimeSpan) -> Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let signalled = async {
        signals.next().await;
    };
    let expired = async {
        Timer::after(max_life.into()).await;
    };
    signalled.or(expired).await;
    Ok(())
}
