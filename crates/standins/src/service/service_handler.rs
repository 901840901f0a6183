use std::{sync::Arc, time::Duration};

use http_types::{Method, Response, StatusCode};
use verbenahub_core::{
    ids::AttemptNumber,
    protocol::{headers::IDEMPOTENCY_KEY, paths},
};

use super::{EntryNumber, EntryState, LedgerEntry, ServiceLedger};
use crate::{
    load::{RunTimer, TargetDesk},
    pool::{input_digest, stage_output},
    server::{CallHandler, IncomingCall, RunLabel, reply},
};

/// Distance of the attempt that an answer of another attempt names.
const ALIEN_ATTEMPTS: u64 = 1_000;

/// Answers the calls to a replica of a plain service.
///
/// A call that was taken in runs to its end, also when its connection breaks.
#[derive(Debug)]
pub struct ServiceHandler {
    /// Slots and load.
    pub desk: TargetDesk,
    /// What the service ran.
    pub ledger: ServiceLedger,
    /// Name of the service in its answers.
    pub name: String,
    /// Mean time in execution.
    pub service: Duration,
    /// Share by which the time in execution varies.
    pub jitter: f64,
    /// Bytes of the input that the output repeats.
    pub output_limit: usize,
    /// Whether outcomes can be asked for.
    pub outcome_query: bool,
}

impl ServiceHandler {
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
        let number = self.ledger.enter(LedgerEntry {
            key: call.header(IDEMPOTENCY_KEY).map(str::to_owned),
            request: label.request.clone(),
            attempt: label.attempt,
            digest: input_digest(&call.body),
            state: EntryState::Queued,
        });
        let slot = wait.slot().await;
        let mut response = self.execute(call, number).await;
        drop(slot);
        self.desk.context.switches.late().await;
        self.shown_label(label).echo(&mut response);
        self.desk.stamp(&mut response);
        response
    }

    /// The label of an answer, or that of an attempt that there is not, by order.
    fn shown_label(&self, mut label: RunLabel) -> RunLabel {
        if self.desk.context.switches.alien_next() {
            label.attempt = AttemptNumber::new(label.attempt.get() + ALIEN_ATTEMPTS);
        }
        label
    }

    async fn execute(&self, call: &IncomingCall, number: EntryNumber) -> Response {
        let context = &self.desk.context;
        if context.switches.fails_next() {
            context.stats.add_failure();
            self.ledger.set(number, EntryState::Void);
            return reply::text(StatusCode::InternalServerError, "ordered to fail");
        }
        let timer = RunTimer::start(&self.desk);
        self.ledger.set(number, EntryState::Running);
        let duration = context.switches.jittered(self.service, self.jitter);
        context.switches.work(duration).await;
        drop(timer);
        if context.switches.fails_after_run() {
            context.stats.add_failure();
            self.ledger.set(number, EntryState::Failed);
            return reply::text(StatusCode::InternalServerError, "ordered to fail");
        }
        let output = stage_output(&self.name, &call.body, self.output_limit);
        self.ledger.finish(number, output.clone().into());
        reply::bytes(output)
    }

    fn outcome(&self, key: &str) -> Response {
        match self.ledger.outcome(key) {
            None | Some((EntryState::Void, _)) => reply::not_found(),
            Some((_, Some(answer))) => reply::bytes(answer.to_vec()),
            Some((EntryState::Failed, None)) => {
                reply::text(StatusCode::InternalServerError, "the call failed")
            }
            Some((_, None)) => reply::text(StatusCode::Accepted, "the call is running"),
        }
    }
}

impl CallHandler for ServiceHandler {
    async fn handle(self: Arc<Self>, call: IncomingCall) -> Response {
        if let Some(response) = self.desk.answer(&call) {
            return response;
        }
        match (call.method(), call.path()) {
            (Method::Post, paths::RUN) => self.run(&call).await,
            (Method::Get, "/ledger") => reply::json(&self.ledger.entries()),
            (Method::Get, path) if self.outcome_query => match path.strip_prefix(paths::OUTCOMES) {
                Some(key) => self.outcome(key),
                None => reply::not_found(),
            },
            _ => reply::not_found(),
        }
    }
}
