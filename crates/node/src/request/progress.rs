use std::{future::Future, net::SocketAddr, pin::pin};

use futures_lite::FutureExt;
use http_types::{Method, Request, Url};
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    policy::health::{ProgressAction, ProgressRule, ProgressWatch},
    protocol::{LoadReport, paths},
    units::ByteSize,
};

use crate::{connection::ConnectionChoice, process::NodeState};

/// Timeout of a probe that checks whether a target responds.
const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// Maximum number of times that the wait is extended because the call may be
/// waiting in the queue of its target.
const MAX_QUEUE_EXTENSIONS: u32 = 3;
/// Maximum size of a load report.
const MAX_REPORT_SIZE: ByteSize = ByteSize::from_kib(16);

/// Awaits a step of a call for as long as the target is likely to be working on
/// it. Returns `None` if the step made no progress for too long, or if the target
/// does not respond to a probe over another connection.
pub(super) async fn await_progress<Work>(
    node: &NodeState,
    target: SocketAddr,
    expected: Option<TimeSpan>,
    work: Work,
) -> Option<Work::Output>
where
    Work: Future,
{
    let mut watch = ProgressWatch::new(ProgressRule::default(), expected, node.now());
    let mut work = pin!(work);
    let mut extensions = 0;
    loop {
        let now = node.now();
        match watch.poll(now) {
            ProgressAction::Abandon => return None,
            ProgressAction::WaitUntil(time) => {
                let wait = now.until(time).max(TimeSpan::from_millis(1));
                let pause = async {
                    Timer::after(wait.into()).await;
                    None
                };
                let step = async { Some(work.as_mut().await) };
                if let Some(output) = step.or(pause).await {
                    return Some(output);
                }
            }
            ProgressAction::Probe => {
                let probe = async {
                    match fetch_load(node, target).await {
                        None => watch.note_probe_failed(),
                        // The call may still be in the queue of the target.
                        Some(load) if load.queued > 0 && extensions < MAX_QUEUE_EXTENSIONS => {
                            extensions += 1;
                            watch.note_progress(expected, node.now());
                        }
                        Some(_) => {}
                    }
                    None
                };
                let step = async { Some(work.as_mut().await) };
                if let Some(output) = step.or(probe).await {
                    return Some(output);
                }
            }
        }
    }
}

/// Fetches the load report of a target over a new connection. Returns `None` if
/// the target does not respond.
async fn fetch_load(node: &NodeState, target: SocketAddr) -> Option<LoadReport> {
    let path = paths::LOAD;
    let url = Url::parse(&format!("http://{target}{path}")).ok()?;
    let call = Request::new(Method::Get, url);
    let choice = ConnectionChoice::Fresh;
    let response = node.clients.call(target, call, choice, PROBE_TIMEOUT);
    let body = response
        .await
        .ok()?
        .into_body(MAX_REPORT_SIZE, PROBE_TIMEOUT)
        .await;
    // An invalid report still proves that the target responds.
    Some(serde_json::from_slice(&body.ok()?).unwrap_or_default())
}
