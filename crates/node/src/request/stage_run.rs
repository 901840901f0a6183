use std::sync::Arc;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    policy::{
        health::CallOutcome,
        retry::{HedgeRule, RetryDecision},
        routing::InFlightGuard,
    },
    records::{StageKind, StageSpec},
    request::{
        AnswerKind, AttemptPlan, RequestPhase, SendToken, StageEvent, StageFailure, StageOutput,
        StagePolicy, StageStep, StageTracker, StageVerdict,
    },
};

use super::{
    AnswerSink, CallerRequest, EffectPermitSource,
    attempt_history::{AttemptHistory, RetryConditions, call_failure, with_retry_after},
    attempt_list::AttemptList,
    stage_attempt::{StageAttempt, time_left},
    stage_call::StageCall,
    stage_permit::StagePermit,
    target_chooser::TargetChooser,
};
use crate::{
    connection::{ClientConnection, ConnectionChoice},
    process::NodeState,
};

/// Maximum number of attempts at one stage, including hedges and resumed
/// streams.
pub(super) const ATTEMPT_LIMIT: u32 = 4;
/// Time after the deadline during which the answer to a non-idempotent call is
/// still accepted.
const LATE_ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);
/// Maximum number of calls per slot of a pool at which hedges are sent. Above it,
/// a hedge would only take a slot from another request.
const MAX_HEDGE_USE_SHARE: f64 = 0.7;
/// Number of events buffered for the stage.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Runs one stage of one request, including retries and hedges.
#[derive(Debug)]
pub(super) struct StageRun<'run> {
    node: &'run Arc<NodeState>,
    request: &'run CallerRequest,
    stage: &'run StageSpec,
    permit_source: Option<&'run EffectPermitSource>,
    input: Bytes,
    chooser: TargetChooser,
    tracker: StageTracker,
    sender: Sender<StageEvent>,
    events: Receiver<StageEvent>,
    attempts: AttemptList,
    permit: StagePermit,
    history: AttemptHistory,
    hedge_at: Option<ClockTime>,
}

/// Reason for which a waiting stage continues.
enum StageWakeup {
    Event(StageEvent),
    HedgeDue,
}

impl<'run> StageRun<'run> {
    pub(super) fn new(
        node: &'run Arc<NodeState>,
        request: &'run CallerRequest,
        stage: &'run StageSpec,
        permit_source: Option<&'run EffectPermitSource>,
        input: Bytes,
    ) -> Self {
        let (sender, events) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        let pool = node.targets.map().pool(&stage.pool).cloned();
        let chooser = TargetChooser::new(pool, node.routing_mode(), request, stage, &input);
        let policy = stage_policy(stage);
        Self {
            node,
            request,
            stage,
            permit_source,
            input,
            chooser,
            tracker: StageTracker::new(request.id.clone(), stage.name.clone(), policy),
            sender,
            events,
            attempts: AttemptList::default(),
            permit: StagePermit::default(),
            history: AttemptHistory::new(),
            hedge_at: None,
        }
    }

    /// Runs the stage until it has a result or has failed. Tokens are forwarded
    /// to `sink` if there is one.
    pub(super) async fn run(
        mut self,
        phase: &mut RequestPhase,
        mut sink: Option<&mut AnswerSink>,
    ) -> Result<StageOutput, StageFailure> {
        if let Some(stats) = self.chooser.stats() {
            stats.retry_budget.earn();
            stats.hedge_budget.earn();
        }
        let mut step = self.start(phase).await;
        loop {
            self.cancel(&step);
            step = match step.verdict {
                StageVerdict::Finish(output) => return Ok(output),
                StageVerdict::GiveUp(failure) => return Err(self.add_retry_after(failure)),
                StageVerdict::Retry => self.retry(phase).await?,
                StageVerdict::Deliver {
                    offset,
                    tokens,
                    text,
                } => {
                    let sink = sink.as_deref_mut();
                    self.deliver(offset, tokens, &text, sink, phase).await
                }
                StageVerdict::Ignore(reason) => {
                    let reason = format!("{reason:?}").to_lowercase();
                    let metric = &self.node.metrics.dropped_chunks;
                    metric.with_label_values(&[reason]).inc();
                    self.next_step(phase).await
                }
                StageVerdict::Wait => self.next_step(phase).await,
            };
        }
    }

    async fn start(&mut self, phase: &mut RequestPhase) -> StageStep {
        match self.tracker.start() {
            Ok(plan) => self.start_attempt(plan, phase).await,
            Err(_) => self.tracker.handle(StageEvent::DeadlinePassed, phase),
        }
    }

    /// Starts another attempt after all earlier ones have ended, if the retry
    /// rule and the retry budget allow it.
    async fn retry(&mut self, phase: &mut RequestPhase) -> Result<StageStep, StageFailure> {
        let now = self.node.now();
        let conditions = RetryConditions {
            idempotent: self.stage.idempotent,
            remaining: now.until(self.request.deadline),
            needed: self.expected_time(),
            seed: now.as_millis() ^ self.input.len() as u64,
        };
        let budget = self.chooser.stats().map(|stats| &stats.retry_budget);
        let decision = self.history.decide(conditions, budget);
        match decision {
            RetryDecision::GiveUp(reason) => {
                Err(self.add_retry_after(self.history.failure(reason)))
            }
            RetryDecision::Retry { after } => {
                self.count_extra_attempt("retry");
                Timer::after(after.into()).await;
                Ok(self.start(phase).await)
            }
        }
    }

    /// Starts a second attempt in parallel with a slow first one, if the hedge
    /// budget allows it.
    async fn hedge(&mut self, phase: &mut RequestPhase) -> StageStep {
        let stats = self.chooser.stats();
        if stats.is_some_and(|stats| stats.hedge_budget.try_spend())
            && let Ok(plan) = self.tracker.start_hedge()
        {
            self.count_extra_attempt("hedge");
            return self.start_attempt(plan, phase).await;
        }
        StageVerdict::Wait.into()
    }

    /// Chooses a target, opens a connection and sends the call.
    async fn start_attempt(&mut self, plan: AttemptPlan, phase: &mut RequestPhase) -> StageStep {
        self.history.record_start();
        let via = plan.attempt;
        let now = self.node.now();
        let Some(flight) = self.chooser.choose(self.request, self.stage, via, now) else {
            return self.handle(StageEvent::NotConnected { via }, phase);
        };
        let Some(connection) = self.connect(&flight).await else {
            let _ = flight.finish(CallOutcome::Failed, self.node.now());
            return self.handle(StageEvent::NotConnected { via }, phase);
        };
        let mut call = StageCall::new(plan, self.input.clone(), self.tracker.received());
        if !self.stage.idempotent {
            let deadline = self.request.deadline;
            let clock = &self.node.clock;
            let key = self
                .permit
                .spend(self.permit_source, &self.stage.name, deadline, clock);
            if key.is_none() {
                return self.handle(StageEvent::DeadlinePassed, phase);
            }
            call.idempotency_key = key;
        }
        match self.tracker.begin_send(via, self.permit.spent(), phase) {
            Ok(token) => self.spawn_attempt(token, call, flight, connection),
            Err(_) => self.handle(StageEvent::NotConnected { via }, phase),
        }
    }

    async fn connect(&self, flight: &InFlightGuard) -> Option<ClientConnection> {
        let vm = flight.vm();
        let choice = if self.stage.idempotent {
            ConnectionChoice::Reuse
        } else {
            ConnectionChoice::Fresh
        };
        let left = time_left(self.node.now(), self.request.deadline);
        let opened = self.node.clients.open(vm.address, choice, left).await;
        opened
            .inspect_err(|error| {
                slog::debug!(self.node.log, "request: Failed to connect to the target.";
                    "target" => %vm.target, "error" => %error);
            })
            .ok()
    }

    /// Spawns a task that sends the call and reports events to the stage.
    fn spawn_attempt(
        &mut self,
        token: SendToken,
        mut call: StageCall,
        flight: InFlightGuard,
        connection: ClientConnection,
    ) -> StageStep {
        let number = token.attempt();
        let vm = Arc::clone(flight.vm());
        let name = format!("stage {}", self.stage.name);
        let span = self.node.trace.client_span(name, &self.request.span);
        span.set("target", &vm.target);
        span.set("attempt", number);
        call.traceparent = span.traceparent();
        let now = self.node.now();
        let http = call.to_http(vm.address, self.request, self.stage, now);
        let attempt = StageAttempt {
            node: Arc::clone(self.node),
            request: self.request.clone(),
            stage: self.stage.clone(),
            token,
            flight,
            span,
            timeout: self.attempt_timeout(now),
            outcome_key: self.outcome_key(&call),
            result_deadline: self.result_deadline(),
            events: self.sender.clone(),
        };
        let task = self
            .node
            .requests
            .spawn_owned(attempt.run(connection, http));
        self.attempts.push(number, vm.address, task);
        self.schedule_hedge(now);
        StageVerdict::Wait.into()
    }

    /// Returns the key with which the outcome of the call can be queried, if the
    /// service supports such queries.
    fn outcome_key(&self, call: &StageCall) -> Option<String> {
        match self.stage.kind {
            StageKind::Service {
                outcome_query: true,
            } => call.idempotency_key.clone(),
            _ => None,
        }
    }

    /// Schedules a hedge for the time at which the first attempt counts as slow.
    fn schedule_hedge(&mut self, now: ClockTime) {
        if self.history.started() > 1 {
            self.hedge_at = None;
            return;
        }
        if self.node.admission.view(&self.stage.pool).use_share > MAX_HEDGE_USE_SHARE {
            self.hedge_at = None;
            return;
        }
        let left = now.until(self.request.deadline);
        self.hedge_at = self.chooser.stats().and_then(|stats| {
            let idempotent = self.stage.idempotent;
            let rule = HedgeRule::default();
            let delay = rule.delay(idempotent, &stats.first_byte, left)?;
            Some(now + delay)
        });
    }

    /// Waits for the next event and handles it.
    async fn next_step(&mut self, phase: &mut RequestPhase) -> StageStep {
        match self.next_wakeup().await {
            StageWakeup::Event(event) => self.handle(event, phase),
            StageWakeup::HedgeDue => {
                self.hedge_at = None;
                self.hedge(phase).await
            }
        }
    }

    async fn next_wakeup(&self) -> StageWakeup {
        let now = self.node.now();
        let deadline = time_left(now, self.result_deadline());
        let timeout = async {
            Timer::after(deadline.into()).await;
            StageWakeup::Event(StageEvent::DeadlinePassed)
        };
        let hedge = async {
            match self.hedge_at {
                Some(time) => {
                    Timer::after(now.until(time).into()).await;
                    StageWakeup::HedgeDue
                }
                None => std::future::pending().await,
            }
        };
        let next = async {
            let event = self.events.recv().await;
            StageWakeup::Event(event.unwrap_or(StageEvent::DeadlinePassed))
        };
        next.or(hedge).or(timeout).await
    }

    fn handle(&mut self, event: StageEvent, phase: &mut RequestPhase) -> StageStep {
        self.permit.record_event(&event);
        let reported = call_failure(&event);
        let step = self.tracker.handle(event, phase);
        self.history.record_event(reported, &step);
        step
    }

    async fn deliver(
        &mut self,
        offset: u64,
        tokens: u64,
        text: &Bytes,
        sink: Option<&mut AnswerSink>,
        phase: &mut RequestPhase,
    ) -> StageStep {
        self.hedge_at = None;
        if let Some(sink) = sink {
            let now = self.node.now();
            if sink.deliver(offset, tokens, text, now).await.is_err() {
                return self.handle(StageEvent::CallerGone, phase);
            }
        }
        self.next_step(phase).await
    }

    fn cancel(&mut self, step: &StageStep) {
        let request = &self.request.id;
        let stage = &self.stage.name;
        self.attempts
            .cancel(self.node, request, stage, &step.cancels);
    }

    fn attempt_timeout(&self, now: ClockTime) -> TimeSpan {
        let left = time_left(now, self.result_deadline());
        self.stage.timeout.map_or(left, |timeout| timeout.min(left))
    }

    /// Time at which the stage stops waiting for results. For a non-idempotent
    /// call this is after the deadline, because a late answer can still be
    /// returned to repeated calls.
    fn result_deadline(&self) -> ClockTime {
        if self.stage.idempotent {
            return self.request.deadline;
        }
        self.request.deadline + LATE_ANSWER_TIMEOUT
    }

    /// Estimated time that another attempt needs.
    fn expected_time(&self) -> TimeSpan {
        let estimate = self.chooser.stats().and_then(|stats| {
            let median = 0.5;
            stats.first_byte.quantile(median)
        });
        estimate.unwrap_or(TimeSpan::ZERO)
    }

    /// Adds a retry delay to failures that are likely to be temporary.
    fn add_retry_after(&self, failure: StageFailure) -> StageFailure {
        with_retry_after(failure, self.expected_time())
    }

    fn count_extra_attempt(&self, kind: &str) {
        let metric = &self.node.metrics.extra_attempts;
        metric
            .with_label_values(&[self.stage.pool.as_str(), kind])
            .inc();
    }
}

fn stage_policy(stage: &StageSpec) -> StagePolicy {
    let kind = if stage.kind.is_generate() {
        AnswerKind::Stream
    } else {
        AnswerKind::Unary
    };
    StagePolicy {
        kind,
        idempotent: stage.idempotent,
        attempt_limit: ATTEMPT_LIMIT,
    }
}
