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
    attempt_list::AttemptList,
    attempt_record::{AttemptRecord, RetryFrame, call_failure, with_return},
    permit_holder::PermitHolder,
    stage_attempt::{StageAttempt, time_left},
    stage_call::StageCall,
    target_chooser::TargetChooser,
};
use crate::{
    connection::{ClientConnection, ConnectionChoice},
    process::NodeState,
};

/// Attempts at one stage at most, hedges and resumes included.
pub(super) const ATTEMPT_LIMIT: u32 = 4;
/// Time after the deadline in which the answer to a non-idempotent call is
/// still taken.
const LATE_ANSWER_SPAN: TimeSpan = TimeSpan::from_secs(15);
/// Calls per slot of a pool above which a hedge would only take a slot from
/// another request.
const HEDGE_USE_SHARE: f64 = 0.7;
/// Events that may wait for the stage.
const EVENT_QUEUE: usize = 64;

/// Runs one stage of one request with all its attempts.
#[derive(Debug)]
pub(super) struct StageRun<'run> {
    node: &'run Arc<NodeState>,
    request: &'run CallerRequest,
    stage: &'run StageSpec,
    gate: Option<&'run EffectPermitSource>,
    input: Bytes,
    chooser: TargetChooser,
    tracker: StageTracker,
    sender: Sender<StageEvent>,
    events: Receiver<StageEvent>,
    attempts: AttemptList,
    permit: PermitHolder,
    record: AttemptRecord,
    hedge_at: Option<ClockTime>,
}

/// What the stage waits for.
enum StageNews {
    Event(StageEvent),
    HedgeDue,
}

impl<'run> StageRun<'run> {
    pub(super) fn new(
        node: &'run Arc<NodeState>,
        request: &'run CallerRequest,
        stage: &'run StageSpec,
        gate: Option<&'run EffectPermitSource>,
        input: Bytes,
    ) -> Self {
        let (sender, events) = async_channel::bounded(EVENT_QUEUE);
        let pool = node.targets.map().pool(&stage.pool).cloned();
        let chooser = TargetChooser::new(pool, node.routing_mode(), request, stage, &input);
        let policy = stage_policy(stage);
        Self {
            node,
            request,
            stage,
            gate,
            input,
            chooser,
            tracker: StageTracker::new(request.id.clone(), stage.name.clone(), policy),
            sender,
            events,
            attempts: AttemptList::default(),
            permit: PermitHolder::default(),
            record: AttemptRecord::new(),
            hedge_at: None,
        }
    }

    /// Runs the stage to its result or its failure. Tokens go to `sink` if
    /// there is one.
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
                StageVerdict::GiveUp(failure) => return Err(self.explain(failure)),
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
            Ok(plan) => self.launch(plan, phase).await,
            Err(_) => self.tracker.handle(StageEvent::DeadlinePassed, phase),
        }
    }

    /// Starts another attempt after all earlier ones have ended, if the rule
    /// and the budget allow it.
    async fn retry(&mut self, phase: &mut RequestPhase) -> Result<StageStep, StageFailure> {
        let now = self.node.now();
        let frame = RetryFrame {
            idempotent: self.stage.idempotent,
            left: now.until(self.request.deadline),
            needed: self.usual_time(),
            seed: now.as_millis() ^ self.input.len() as u64,
        };
        let budget = self.chooser.stats().map(|stats| &stats.retry_budget);
        let decision = self.record.decide(frame, budget);
        match decision {
            RetryDecision::GiveUp(reason) => Err(self.explain(self.record.failure(reason))),
            RetryDecision::Retry { after } => {
                self.count_extra("retry");
                Timer::after(after.into()).await;
                Ok(self.start(phase).await)
            }
        }
    }

    /// Starts a second attempt beside a slow first one.
    async fn hedge(&mut self, phase: &mut RequestPhase) -> StageStep {
        let stats = self.chooser.stats();
        if stats.is_some_and(|stats| stats.hedge_budget.try_spend())
            && let Ok(plan) = self.tracker.start_hedge()
        {
            self.count_extra("hedge");
            return self.launch(plan, phase).await;
        }
        StageVerdict::Wait.into()
    }

    /// Chooses a target, opens a connection and sends the call.
    async fn launch(&mut self, plan: AttemptPlan, phase: &mut RequestPhase) -> StageStep {
        self.record.note_start();
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
                .spend(self.gate, &self.stage.name, deadline, clock);
            if key.is_none() {
                return self.handle(StageEvent::DeadlinePassed, phase);
            }
            call.idempotency_key = key;
        }
        match self.tracker.begin_send(via, self.permit.spent(), phase) {
            Ok(token) => self.send(token, call, flight, connection),
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
                slog::debug!(self.node.log, "request: Target not reached.";
                    "target" => %vm.target, "error" => %error);
            })
            .ok()
    }

    /// Hands the call to a task that reports back with events.
    fn send(
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
            give_up_at: self.give_up_at(),
            events: self.sender.clone(),
        };
        let task = self
            .node
            .requests
            .spawn_owned(attempt.run(connection, http));
        self.attempts.push(number, vm.address, task);
        self.plan_hedge(now);
        StageVerdict::Wait.into()
    }

    /// The key under which the target tells what became of the call.
    fn outcome_key(&self, call: &StageCall) -> Option<String> {
        match self.stage.kind {
            StageKind::Service {
                outcome_query: true,
            } => call.idempotency_key.clone(),
            _ => None,
        }
    }

    /// Decides when the first attempt counts as slow.
    fn plan_hedge(&mut self, now: ClockTime) {
        if self.record.started() > 1 {
            self.hedge_at = None;
            return;
        }
        if self.node.admission.view(&self.stage.pool).use_share > HEDGE_USE_SHARE {
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
        match self.next_news().await {
            StageNews::Event(event) => self.handle(event, phase),
            StageNews::HedgeDue => {
                self.hedge_at = None;
                self.hedge(phase).await
            }
        }
    }

    async fn next_news(&self) -> StageNews {
        let now = self.node.now();
        let deadline = time_left(now, self.give_up_at());
        let late = async {
            Timer::after(deadline.into()).await;
            StageNews::Event(StageEvent::DeadlinePassed)
        };
        let hedge = async {
            match self.hedge_at {
                Some(time) => {
                    Timer::after(now.until(time).into()).await;
                    StageNews::HedgeDue
                }
                None => std::future::pending().await,
            }
        };
        let next = async {
            let event = self.events.recv().await;
            StageNews::Event(event.unwrap_or(StageEvent::DeadlinePassed))
        };
        next.or(hedge).or(late).await
    }

    fn handle(&mut self, event: StageEvent, phase: &mut RequestPhase) -> StageStep {
        self.permit.note(&event);
        let told = call_failure(&event);
        let step = self.tracker.handle(event, phase);
        self.record.note(told, &step);
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
        let left = time_left(now, self.give_up_at());
        self.stage.timeout.map_or(left, |timeout| timeout.min(left))
    }

    /// When to stop waiting for results. The answer to a non-idempotent call
    /// still serves repeats after the deadline.
    fn give_up_at(&self) -> ClockTime {
        if self.stage.idempotent {
            return self.request.deadline;
        }
        self.request.deadline + LATE_ANSWER_SPAN
    }

    /// Time that another attempt is thought to need.
    fn usual_time(&self) -> TimeSpan {
        let learned = self.chooser.stats().and_then(|stats| {
            let half = 0.5;
            stats.first_byte.quantile(half)
        });
        learned.unwrap_or(TimeSpan::ZERO)
    }

    /// Adds when to come back where a return is useful.
    fn explain(&self, failure: StageFailure) -> StageFailure {
        with_return(failure, self.usual_time())
    }

    fn count_extra(&self, kind: &str) {
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
