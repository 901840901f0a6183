use std::{future::Future, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::clock::TimeSpan;

/// Waits for a future no longer than `span`.
pub async fn within<Work>(span: TimeSpan, work: Work) -> Option<Work::Output>
where
    Work: Future,
{
    let done = async { Some(work.await) };
    let late = async {
        Timer::after(Duration::from(span)).await;
        None
    };
    done.or(late).await
}
