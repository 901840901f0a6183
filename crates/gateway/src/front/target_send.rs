use std::sync::Arc;

use verbenahub_core::{
    clock::TimeSpan,
    engines::{EngineQuery, PromptStep, ZoneResults},
    ids::ZoneName,
    policy::health::CallOutcome,
    routes::{RouteKind, SendHistory},
    targets::{TargetCriteria, TargetRecord},
};
use verbenahub_platform::{decode_prompt, headers};

use super::{
    ActiveRequest, OwnAnswer,
    forward_headers::{ForwardExtras, forward_headers},
};
use crate::{
    engines::PromptPlace,
    process::Shared,
    staging::StageOutput,
    targets::{SendError, TargetCall, TargetExchange, within},
};

/// Status of a target that isn't the one that was named.
const MISDIRECTED: u16 = 421;
/// Targets that are tried at most, those included that can't be reached.
const TRIES: usize = 4;
/// Time for the body of a refusal, which comes at once or is no use.
const REFUSAL_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);
/// Part by which times to come back differ, so that callers that are told the
/// same don't come back at the same instant.
const RETURN_SPREAD_PERCENT: u64 = 30;
/// When a caller may come back whose request no target takes.
const REFUSED_RETRY: TimeSpan = TimeSpan::from_millis(150);
/// Multiple of a route's goal after which the first of several attempts at a
/// short call is given up for another one.
const PLAIN_PATIENCE: u64 = 2;
/// Least time that the first of several attempts gets.
const LEAST_PATIENCE: TimeSpan = TimeSpan::from_millis(300);

/// Sends one request to targets until one answers.
#[derive(Debug)]
pub(super) struct TargetSend<'a> {
    pub(super) shared: &'a Shared,
    pub(super) request: &'a ActiveRequest,
    pub(super) history: SendHistory,
    /// Results that the target reads first.
    pub(super) inputs: Option<Vec<String>>,
    /// Where they lie, that of the most first.
    results: Vec<ZoneResults>,
    /// The request's place at the engine that was chosen for it.
    place: Option<PromptPlace>,
}

impl<'a> TargetSend<'a> {
    pub(super) fn new(shared: &'a Shared, request: &'a ActiveRequest) -> Self {
        Self {
            shared,
            request,
            history: SendHistory::default(),
            inputs: None,
            results: Vec::new(),
            place: None,
        }
    }

    /// Takes over what the stages have produced.
    pub(super) fn take_inputs(&mut self, output: &StageOutput) {
        self.inputs = Some(output.inputs.clone());
        self.results.clone_from(&output.results);
    }

    /// Zone of the target that may hold the request's prompt.
    pub(super) fn home(&self) -> Option<ZoneName> {
        let candidates = self.shared.ready_targets(&self.request.service);
        let ask = self.choice_ask();
        let loads = self.shared.loads.borrow();
        loads
            .affinity_target(&candidates, &ask)
            .map(|record| record.zone.clone())
    }

    /// Whether another target may get the request.
    pub(super) fn may_send(&self) -> bool {
        let route = &self.request.route;
        self.history.try_count() < TRIES
            && self.history.may_send(route.may_repeat(), route.attempts)
    }

    /// Whether the route lets a stream go on at another target.
    pub(super) fn may_move(&self) -> bool {
        self.request.route.resumable
            && self.history.send_count() < self.request.route.attempts
            && self.history.try_count() < TRIES
    }

    /// Whether a stream that has stalled can go on elsewhere now: another target
    /// takes work and the budget for extra attempts isn't spent. A slow stream
    /// is better than a broken one.
    pub(super) fn can_move(&self) -> bool {
        self.may_move() && self.shared.retry_budget.has_spare() && self.choose().is_some()
    }

    /// Takes an attempt beyond the first from the budget.
    pub(super) fn may_retry(&self) -> bool {
        if !self.may_send() || self.request.left(self.shared.now()).is_zero() {
            return false;
        }
        let granted = self.history.send_count() == 0 || self.shared.retry_budget.try_spend();
        slog::info!(self.shared.log, "request: Another attempt.";
            "request" => &self.request.id, "sends" => self.history.send_count(),
            "granted" => granted);
        granted
    }

    /// Sends the request to the best target and waits for the head of its
    /// answer. Goes on to others as long as none has run it.
    ///
    /// # Errors
    ///
    /// Gives the gateway's answer if no target answers.
    pub(super) async fn begin(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<TargetExchange, OwnAnswer> {
        loop {
            let Some(record) = self.choose_next().await else {
                return Err(self.give_up("no_target"));
            };
            match self.send(&record, last_event).await {
                Ok(exchange) => {
                    let refused = exchange.head.headers.get(headers::NOT_RUN).is_some();
                    if !refused {
                        return Ok(exchange);
                    }
                    if exchange.head.status == MISDIRECTED {
                        self.end_place(PromptStep::Gone);
                    }
                    self.drain(exchange).await;
                    self.history.record_not_run();
                    if !self.may_retry() {
                        return Err(self.give_up("target_refused"));
                    }
                }
                Err(error) if error.is_not_run() => {
                    // A connection that doesn't come about may be this node's
                    // own fault.
                    let is_gone = matches!(error, SendError::Refused(_));
                    self.end_place(if is_gone {
                        PromptStep::Gone
                    } else {
                        PromptStep::Failed
                    });
                    self.history.record_not_sent();
                    if !self.may_retry() {
                        return Err(self.give_up("target_unreachable"));
                    }
                }
                Err(_) => {
                    self.end_place(PromptStep::Failed);
                    self.history.record_may_have_run();
                    if !self.may_retry() {
                        return Err(self.give_up("target_failed"));
                    }
                }
            }
        }
    }

    /// The gateway's answer to a request that it gives up on.
    pub(super) fn give_up(&self, code: &'static str) -> OwnAnswer {
        if let Some(proof) = self.history.prove_not_run() {
            return OwnAnswer::not_run(proof, code, self.return_time());
        }
        if self.request.left(self.shared.now()).is_zero() {
            return OwnAnswer::timed_out();
        }
        OwnAnswer::outcome_unknown()
    }

    /// When a caller may come back that no target has served: when the first
    /// one takes requests again.
    fn return_time(&self) -> TimeSpan {
        let candidates = self.shared.ready_targets(&self.request.service);
        let loads = self.shared.loads.borrow();
        let closed = loads.shortest_backoff(&candidates, self.shared.now());
        let least = closed.unwrap_or_default().max(REFUSED_RETRY);
        let most_extra = least.as_millis() * RETURN_SPREAD_PERCENT / 100;
        least + TimeSpan::from_millis(self.shared.random() % (most_extra + 1))
    }

    async fn send(
        &mut self,
        record: &Arc<TargetRecord>,
        last_event: Option<&str>,
    ) -> Result<TargetExchange, SendError> {
        let request = self.request;
        let left = request.left(self.shared.now());
        let extras = ForwardExtras {
            inputs: self.inputs.as_deref(),
            last_event,
        };
        let ask = TargetCall {
            method: &request.head.method,
            target: &request.head.target,
            headers: forward_headers(request, record, left, extras),
            body: has_body(request).then_some(&request.body),
            request: Some(&request.id),
            head_timeout: self.patience(left),
        };
        self.history.record_send(record.id.clone());
        if self.history.send_count() == 1 {
            self.shared.retry_budget.earn();
        }
        let begun = self.shared.now();
        let result = TargetExchange::begin(self.shared, record, ask).await;
        let end = match &result {
            Ok(exchange) => exchange.head.status.to_string(),
            Err(error) => error.to_string(),
        };
        let label = result
            .as_ref()
            .map_or_else(SendError::label, |_| "answered");
        let attempts = &self.shared.metrics.attempts;
        let service = request.service.as_str();
        attempts.with_label_values(&[service, label]).inc();
        slog::info!(self.shared.log, "request: Attempt ended.";
            "request" => &request.id, "target" => %record.id, "zone" => %record.zone,
            "attempt" => self.history.try_count(), "end" => end,
            "targets_revision" => %record.revision, "left" => %left,
            "chooser" => self.place.as_ref().map(|place| place.chooser().to_string()),
            "took" => %self.shared.now().since(begun));
        result
    }

    /// Time until the head of an answer: all that is left, or less if another
    /// target could be asked.
    fn patience(&self, left: TimeSpan) -> TimeSpan {
        let route = &self.request.route;
        let is_last = self.history.send_count() + 1 >= route.attempts || !route.may_repeat();
        if is_last {
            return left;
        }
        let patience = if route.kind == RouteKind::Streaming {
            route.goal
        } else {
            route.goal * PLAIN_PATIENCE
        };
        patience.max(LEAST_PATIENCE).min(left)
    }

    /// Tells the node that chose the engine that this has read the prompt.
    pub(super) fn note_read(&self) {
        if let Some(place) = &self.place {
            place.note_read();
        }
    }

    /// Tells the node that chose the engine how its work on the request has
    /// ended.
    pub(super) fn end_place(&mut self, end: PromptStep) {
        if let Some(place) = self.place.take() {
            place.finish(end);
        }
    }

    /// The target that gets the request next: for a prompt the one that the node
    /// names which chooses for all, if that answers.
    async fn choose_next(&mut self) -> Option<Arc<TargetRecord>> {
        self.place = None;
        let Some((key, ask)) = self.engine_ask() else {
            return self.choose();
        };
        let candidates = self.shared.ready_targets(&self.request.service);
        let engines = &self.shared.engines;
        self.place = engines.choose(self.shared, &key, &ask, &candidates).await;
        match &self.place {
            Some(place) => Some(Arc::clone(place.record())),
            None => self.choose(),
        }
    }

    /// What the choice of an engine is asked for, if the request has a prompt,
    /// and the key under which the node that chooses is found.
    fn engine_ask(&self) -> Option<(String, EngineQuery)> {
        let request = self.request;
        request.config.engine_memory(&request.service)?;
        let parts = decode_prompt(request.head.headers.text(headers::PROMPT_PARTS)?)?;
        let (own, shared) = parts.split_last()?;
        let key = shared
            .last()
            .map_or_else(|| request.id.clone(), |part| format!("{:016x}", part.hash));
        let candidates = self.shared.ready_targets(&request.service);
        let loads = self.shared.loads.borrow();
        let ask = EngineQuery {
            service: request.service.clone(),
            request: request.id.clone(),
            shared: shared.to_vec(),
            own: own.tokens,
            results: self.results.clone(),
            avoid: loads.unusable(&candidates, &self.choice_ask()),
        };
        Some((key, ask))
    }

    fn choose(&self) -> Option<Arc<TargetRecord>> {
        let candidates = self.shared.ready_targets(&self.request.service);
        let ask = self.choice_ask();
        self.shared.loads.borrow().choose(&candidates, &ask)
    }

    fn choice_ask(&self) -> TargetCriteria<'_> {
        TargetCriteria {
            now: self.shared.now(),
            tried: self.history.tried_targets(),
            zone: self.results.first().map(|results| &results.zone),
            affinity: prompt_affinity(self.request),
            seed: self.shared.random(),
        }
    }

    /// Reads a refusal to its end, so that its connection can be used again.
    async fn drain(&self, mut exchange: TargetExchange) {
        let limit = REFUSAL_TIMEOUT.min(self.request.left(self.shared.now()));
        let read = within(limit, exchange.collect()).await;
        if let Err(error) = read.unwrap_or(Err(SendError::Stalled)) {
            slog::debug!(self.shared.log, "request: Refusal broke off.";
                "request" => &self.request.id, "error" => %error);
        }
        exchange.set_outcome(CallOutcome::Refused);
    }
}

fn has_body(request: &ActiveRequest) -> bool {
    let is_declared = ["Content-Length", "Transfer-Encoding"];
    let mut names = is_declared.iter();
    !request.body.is_empty() || names.any(|name| request.head.headers.get(name).is_some())
}

/// Hash of the last part of the prompt that other requests share. The last
/// part of all is the request's own.
fn prompt_affinity(request: &ActiveRequest) -> Option<u64> {
    let parts = decode_prompt(request.head.headers.text(headers::PROMPT_PARTS)?)?;
    let (_, shared) = parts.split_last()?;
    shared.last().map(|part| part.hash)
}
