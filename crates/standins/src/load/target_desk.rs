use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http_types::{Method, Response, StatusCode};
use verbenahub_core::{
    clock::TimeSpan,
    protocol::{
        CancelCall, LoadReport,
        headers::{LOAD, PRIORITY},
        paths,
    },
};

use super::{CancelTable, LoadHistory, RunLog, SlotQueue, SlotWait};
use crate::server::{IncomingCall, RunLabel, ServerContext, reply};

/// Weight of the newest call in the mean time in execution, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// Priority of a call that names none.
const DEFAULT_PRIORITY: u8 = 5;
/// Shortest span that a refused call is told to wait.
const LEAST_RETRY: TimeSpan = TimeSpan::from_millis(10);

/// What engines, pools and plain services do alike: slots, load and cancelling.
#[derive(Debug)]
pub struct TargetDesk {
    /// What the process shares.
    pub context: ServerContext,
    /// Slots and queue.
    pub queue: Arc<SlotQueue>,
    /// Attempts that can be cancelled.
    pub cancels: Arc<CancelTable>,
    log: RunLog,
    history: LoadHistory,
    mean_micros: AtomicU64,
}

impl TargetDesk {
    /// Creates the desk of an idle target.
    #[must_use]
    pub fn new(
        context: ServerContext,
        queue: Arc<SlotQueue>,
        lag: TimeSpan,
        service: Duration,
    ) -> Self {
        let micros = u64::try_from(service.as_micros()).unwrap_or(u64::MAX);
        let first = load_of(&queue, micros, false);
        Self {
            context,
            queue,
            cancels: Arc::default(),
            log: RunLog::default(),
            history: LoadHistory::new(lag, first),
            mean_micros: AtomicU64::new(micros),
        }
    }

    /// Answers the calls that all targets answer alike.
    #[must_use]
    pub fn answer(&self, call: &IncomingCall) -> Option<Response> {
        match (call.method(), call.path()) {
            (Method::Get, paths::LOAD) => {
                self.note_load();
                let now = self.context.clock.now();
                Some(reply::json(&self.history.report(now)))
            }
            (Method::Get, "/runs") => Some(reply::json(&self.log.entries())),
            (Method::Post, paths::CANCEL) => Some(self.cancel(call)),
            _ => None,
        }
    }

    /// Takes a slot or a place in the queue for a call, and notes the call.
    ///
    /// # Errors
    ///
    /// Fails with the answer to give when the queue is full.
    pub fn enter(&self, call: &IncomingCall, label: &RunLabel) -> Result<SlotWait, Box<Response>> {
        let priority = call.parsed(PRIORITY).unwrap_or(DEFAULT_PRIORITY);
        let entered = self.queue.enter(priority);
        if entered.is_ok() {
            self.log.push(label.clone(), &call.body);
        }
        self.note_load();
        entered.map_err(|_| {
            self.context.stats.add_refusal();
            let mut response = reply::refusal(StatusCode::TooManyRequests, self.retry_span());
            self.stamp(&mut response);
            Box::new(response)
        })
    }

    /// Adds the present load to an answer.
    pub fn stamp(&self, response: &mut Response) {
        self.note_load();
        response.insert_header(LOAD, self.load().to_string());
    }

    /// Notes the load for later reports.
    pub fn note_load(&self) {
        self.history.push(self.context.clock.now(), self.load());
    }

    /// Counts the time in execution of a call that has ended.
    pub fn note_run(&self, duration: Duration) {
        self.context.stats.add_busy(duration);
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let mean = self.mean_micros.load(Ordering::Relaxed);
        let next = mean - mean / MEAN_DIVISOR + micros / MEAN_DIVISOR;
        self.mean_micros.store(next, Ordering::Relaxed);
        self.note_load();
    }

    /// The present load.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let leaving = self.context.switches.spec().leaving;
        load_of(
            &self.queue,
            self.mean_micros.load(Ordering::Relaxed),
            leaving,
        )
    }

    fn retry_span(&self) -> TimeSpan {
        let load = self.load();
        let calls = u64::from(load.queued) / u64::from(load.capacity.max(1));
        let span = load.service_time * calls;
        span.max(LEAST_RETRY)
    }

    fn cancel(&self, call: &IncomingCall) -> Response {
        match serde_json::from_slice::<CancelCall>(&call.body) {
            Ok(cancel) => {
                self.cancels.cancel(&RunLabel::from(cancel));
                Response::new(StatusCode::NoContent)
            }
            Err(error) => reply::text(StatusCode::BadRequest, &error.to_string()),
        }
    }
}

fn load_of(queue: &SlotQueue, mean_micros: u64, leaving: bool) -> LoadReport {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    LoadReport {
        running: count(queue.running()),
        queued: count(queue.queued()),
        capacity: count(queue.slots()),
        service_time: TimeSpan::from_millis(mean_micros.div_ceil(1_000)),
        leaving,
    }
}
