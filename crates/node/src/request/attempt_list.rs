use std::{net::SocketAddr, sync::Arc};

use http_types::{Method, Request, Url};
use smol::Task;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{AttemptNumber, RequestId, StageName},
    protocol::{CancelCall, paths},
};

use crate::{connection::ConnectionChoice, process::NodeState};

/// Timeout of a call that cancels an attempt.
const CANCEL_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Attempts at one stage that have a running task. Dropping the list cancels
/// the tasks.
#[derive(Debug, Default)]
pub(super) struct AttemptList {
    running: Vec<RunningAttempt>,
}

#[derive(Debug)]
struct RunningAttempt {
    number: AttemptNumber,
    address: SocketAddr,
    _task: Task<()>,
}

impl AttemptList {
    pub(super) fn push(&mut self, number: AttemptNumber, address: SocketAddr, task: Task<()>) {
        self.running.push(RunningAttempt {
            number,
            address,
            _task: task,
        });
    }

    /// Cancels the tasks of the given attempts and asks their targets to stop
    /// working on them.
    pub(super) fn cancel(
        &mut self,
        node: &Arc<NodeState>,
        request: &RequestId,
        stage: &StageName,
        numbers: &[AttemptNumber],
    ) {
        for number in numbers {
            let mut running = self.running.iter();
            let Some(index) = running.position(|attempt| attempt.number == *number) else {
                continue;
            };
            let attempt = self.running.swap_remove(index);
            let body = CancelCall {
                request: request.clone(),
                stage: stage.clone(),
                attempt: attempt.number,
            };
            let node_state = Arc::clone(node);
            node.requests
                .spawn(send_cancel(node_state, attempt.address, body));
        }
    }
}

/// Asks a target to cancel an attempt. This is best effort: errors are
/// ignored.
async fn send_cancel(node: Arc<NodeState>, address: SocketAddr, body: CancelCall) {
    let path = paths::CANCEL;
    let Ok(url) = Url::parse(&format!("http://{address}{path}")) else {
        return;
    };
    let mut call = Request::new(Method::Post, url);
    call.set_body(serde_json::to_vec(&body).unwrap_or_default());
    call.insert_header("content-type", "application/json");
    let choice = ConnectionChoice::Reuse;
    let response = node.clients.call(address, call, choice, CANCEL_TIMEOUT);
    if let Ok(response) = response.await {
        response.finish();
    }
}
