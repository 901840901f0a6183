use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures_lite::FutureExt;
use http_types::{Method, Response, StatusCode};
use verbenahub_core::protocol::{headers::REQUEST_ID, paths};

use super::stage_output;
use crate::{
    load::{RunTimer, SlotWait, TargetDesk},
    server::{CallHandler, IncomingCall, RunLabel, reply},
};

/// Answers the calls to a replica of a pool.
#[derive(Debug)]
pub struct PoolHandler {
    /// Slots, load and cancelling.
    pub desk: TargetDesk,
    /// Name of the stage in the output.
    pub name: String,
    /// Mean time in execution.
    pub service: Duration,
    /// Share by which the time in execution varies.
    pub jitter: f64,
    /// Bytes of the input that the output repeats.
    pub output_limit: usize,
    /// The answer before, which is given once more by order.
    pub last: Mutex<Option<PoolAnswer>>,
}

/// An answer of a pool.
#[derive(Clone, Debug)]
pub struct PoolAnswer {
    label: RunLabel,
    output: Vec<u8>,
}

impl PoolHandler {
    async fn run(&self, call: &IncomingCall) -> Response {
        let Some(label) = RunLabel::of_call(call) else {
            return reply::text(
                StatusCode::BadRequest,
                "request, stage or attempt is missing",
            );
        };
        let wait = match self.desk.enter(call, &label) {
            Ok(wait) => wait,
            Err(response) => return *response,
        };
        let cancel = self.desk.cancels.enter(label.clone());
        let stopped = async {
            cancel.cancelled().or(call.link.closed()).await;
            None
        };
        let executed = async { Some(self.execute(call, &label, wait).await) };
        let mut response = executed.or(stopped).await.unwrap_or_else(|| {
            self.desk.context.stats.add_cancel();
            reply::text(StatusCode::InternalServerError, "cancelled")
        });
        if response.header(REQUEST_ID).is_none() {
            label.echo(&mut response);
        }
        self.desk.stamp(&mut response);
        response
    }

    async fn execute(&self, call: &IncomingCall, label: &RunLabel, wait: SlotWait) -> Response {
        let context = &self.desk.context;
        let slot = wait.slot().await;
        let timer = RunTimer::start(&self.desk);
        let duration = context.switches.jittered(self.service, self.jitter);
        context.switches.work(duration).await;
        drop(slot);
        drop(timer);
        context.switches.late().await;
        if context.switches.fails_next() {
            context.stats.add_failure();
            return reply::text(StatusCode::InternalServerError, "ordered to fail");
        }
        let answer = self.answer_or_alien(PoolAnswer {
            label: label.clone(),
            output: stage_output(&self.name, &call.body, self.output_limit),
        });
        let mut response = reply::bytes(answer.output);
        answer.label.echo(&mut response);
        response
    }

    /// Gives the answer before in place of this one, by order.
    fn answer_or_alien(&self, answer: PoolAnswer) -> PoolAnswer {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let before = last.replace(answer.clone());
        before
            .filter(|_| self.desk.context.switches.alien_next())
            .unwrap_or(answer)
    }
}

impl CallHandler for PoolHandler {
    async fn handle(self: Arc<Self>, call: IncomingCall) -> Response {
        if let Some(response) = self.desk.answer(&call) {
            return response;
        }
        match (call.method(), call.path()) {
            (Method::Post, paths::RUN) => self.run(&call).await,
            _ => reply::not_found(),
        }
    }
}
