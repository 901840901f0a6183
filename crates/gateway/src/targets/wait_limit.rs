use std::{future::Future, time::Duration};

use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::clock::TimeSpan;

/// Runs a future with a timeout. Returns `None`, and drops the future, if it has
/// not completed within `span`.
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
