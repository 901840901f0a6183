use std::{collections::BTreeSet, pin::pin, sync::Arc};

use verbenahub_core::{
    clock::TimeSpan,
    engines::{EngineQuery, PromptStep, ZoneResults},
    ids::{TargetId, ZoneName},
    policy::health::CallOutcome,
    routes::{RouteKind, SendHistory},
    targets::{TargetCriteria, TargetRecord},
};
use verbenahub_platform::{decode_prompt_parts, headers};

use super::{
    ActiveRequest, GatewayResponse, RequestProgress,
    answer_phase::AnswerPhase,
    forward_headers::{ForwardExtras, forward_headers},
    gateway_response::MAX_RETRY_AFTER,
    resume_point::ResumePoint,
};
use crate::{
    engines::EngineAssignment,
    process::Shared,
    staging::StageOutput,
    targets::{
        CallPurpose, PermitDenied, PermitRequest, SendError, SendPermit, TargetCall,
        TargetExchange, within,
    },
};

/// Status of a target that is not the one named in the request.
const MISDIRECTED: u16 = 421;
/// Maximum number of tries per request, including targets that can't be reached.
const MAX_TRIES: usize = 4;
/// Maximum number of targets per request that turn out to be used up or departed.
const MAX_DENIALS: usize = 4;
/// Maximum number of targets that a request may have crashed and is still sent
/// again.
const MAX_CRASHES: usize = 1;
/// Timeout for the body of a refusal. It arrives at once or isn't worth waiting
/// for, since it is only read so that the connection can be reused.
const REFUSAL_TIMEOUT: TimeSpan = TimeSpan::from_millis(100);
/// How long the connection of a silent stream is kept after the stream was sent to
/// another target, in case that one refuses it. A target must have stopped 400 ms after
/// the next one has begun; the rest is for the close to reach it.
const RESUME_OVERLAP: TimeSpan = TimeSpan::from_millis(250);
/// Random addition to `Retry-After`, so that callers that are refused at the same
/// time don't all retry at the same time.
const RETRY_JITTER_PERCENT: u64 = 30;
/// Minimum `Retry-After`, before jitter, of a request that no target accepts.
const MIN_REFUSED_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(150);
/// Maximum `Retry-After`, before jitter, of such a request. Leaves room for the
/// jitter below [`MAX_RETRY_AFTER`].
const MAX_REFUSED_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(2_500);
/// Multiple of the route's latency goal after which an attempt at a request that
/// is not a stream is abandoned in favor of another one.
const PLAIN_ATTEMPT_GOAL_MULTIPLE: u64 = 2;
/// Minimum timeout of an attempt that can be followed by another one.
const MIN_ATTEMPT_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);

/// Sends one request to targets, one after the other, until one responds.
#[derive(Debug)]
pub(super) struct TargetSender<'a> {
    pub(super) shared: &'a Shared,
    pub(super) request: &'a ActiveRequest,
    pub(super) history: SendHistory,
    /// Names of the stage results that the target reads as inputs.
    pub(super) inputs: Option<Vec<String>>,
    /// Zones that hold these results, the one with the most first.
    results: Vec<ZoneResults>,
    /// Number of targets that the request may have crashed.
    crashes: usize,
    /// Engine that the choosing node assigned to the prompt, if any.
    assignment: Option<EngineAssignment>,
    /// Whether a chosen target had no permit left.
    is_over_limit: bool,
}

impl<'a> TargetSender<'a> {
    pub(super) fn new(shared: &'a Shared, request: &'a ActiveRequest) -> Self {
        Self {
            shared,
            request,
            history: SendHistory::default(),
            inputs: None,
            results: Vec::new(),
            crashes: 0,
            assignment: None,
            is_over_limit: false,
        }
    }

    /// Sets the results of the stages as inputs of the request.
    pub(super) fn set_stage_output(&mut self, output: &StageOutput) {
        self.inputs = Some(output.inputs.clone());
        self.results.clone_from(&output.results_by_zone);
    }

    /// Zone of the target that probably has the request's prompt in its cache.
    pub(super) fn preferred_zone(&self) -> Option<ZoneName> {
        let candidates = self.shared.ready_targets(&self.request.service);
        let ask = self.choice_ask();
        let loads = self.shared.loads.borrow();
        loads
            .affinity_target(&candidates, &ask)
            .map(|record| record.zone.clone())
    }

    /// Whether the request may be sent once more.
    pub(super) fn may_send(&self) -> bool {
        let route = &self.request.route;
        self.history.try_count() < MAX_TRIES
            && self.history.may_send(route.may_repeat(), route.attempts)
    }

    /// Whether the route allows the stream to be resumed at another target.
    pub(super) fn may_resume(&self) -> bool {
        self.request.route.resumable
            && self.history.send_count() < self.request.route.attempts
            && self.history.try_count() < MAX_TRIES
    }

    /// Whether a stalled stream can be resumed now: another target without a limit
    /// accepts requests and the budget for extra attempts is not used up. Otherwise
    /// the stream is kept, since a slow stream is better than a broken one.
    pub(super) fn can_resume(&self) -> bool {
        if !self.may_resume() || !self.shared.retry_budget.has_spare() {
            return false;
        }
        let mut candidates = self.shared.ready_targets(&self.request.service);
        candidates.retain(|record| self.shared.request_limit(record).is_none());
        let loads = self.shared.loads.borrow();
        loads.choose(&candidates, &self.choice_ask()).is_some()
    }

    /// Whether another attempt is allowed. Takes it from the budget for extra
    /// attempts unless it is the first.
    pub(super) fn may_retry(&self) -> bool {
        if !self.may_send() || self.request.time_left(self.shared.now()).is_zero() {
            return false;
        }
        let granted = self.history.send_count() == 0 || self.shared.retry_budget.try_spend();
        slog::info!(self.shared.log, "request: Another attempt.";
            "request" => &self.request.id, "sends" => self.history.send_count(),
            "granted" => granted);
        granted
    }

    /// Sends the request to the best target and waits for the head of the
    /// response. Retries at other targets where that is allowed. With a
    /// `resume_point`, the previous exchange is open afterwards only if no target
    /// can have run the request since.
    ///
    /// # Errors
    ///
    /// Returns the gateway's own response if no target accepts the request.
    pub(super) async fn open_exchange(
        &mut self,
        mut resume_point: Option<&mut ResumePoint<'_>>,
    ) -> Result<TargetExchange, GatewayResponse> {
        let mut denials = 0;
        loop {
            self.check_quarantine()?;
            let Some(record) = self.choose_target().await else {
                return Err(self.no_target_response());
            };
            let permit = match self.acquire_permit(&record).await {
                Ok(permit) => permit,
                Err(reason) => {
                    self.end_assignment(PromptStep::Ended);
                    self.is_over_limit |= matches!(reason, PermitDenied::OverLimit { .. });
                    denials += 1;
                    if denials >= MAX_DENIALS {
                        return Err(self.no_target_response());
                    }
                    continue;
                }
            };
            if let Err(response) = self.check_quarantine() {
                self.end_assignment(PromptStep::Ended);
                return Err(response);
            }
            match self.attempt(permit, resume_point.as_deref_mut()).await {
                Ok(exchange) => {
                    let refused = exchange.head.headers.get(headers::NOT_RUN).is_some();
                    if !refused {
                        return Ok(exchange);
                    }
                    if exchange.head.status == MISDIRECTED {
                        self.end_assignment(PromptStep::Gone);
                    }
                    self.read_refusal(exchange).await;
                    self.history.record_not_run();
                    self.update_progress();
                    if !self.may_retry() {
                        return Err(self.failure_response("target_refused"));
                    }
                }
                Err(error) if error.is_not_run() => {
                    // Only a refused connection shows that the engine is gone. Other
                    // connection failures may be caused by this node.
                    let is_gone = matches!(error, SendError::ConnectionRefused(_));
                    self.end_assignment(if is_gone {
                        PromptStep::Gone
                    } else {
                        PromptStep::Failed
                    });
                    self.history.record_not_sent();
                    self.update_progress();
                    if !self.may_retry() {
                        return Err(self.failure_response("target_unreachable"));
                    }
                }
                Err(_) => {
                    self.end_assignment(PromptStep::Failed);
                    self.history.record_may_have_run();
                    if !self.may_repeat().await {
                        return Err(self.failure_response("target_failed"));
                    }
                }
            }
        }
    }

    /// Whether the request may be sent again after an engine may have run it. A
    /// request that may have crashed the engine is sent again once at most, and only
    /// if no part of its prompt is suspected.
    pub(super) async fn may_repeat(&mut self) -> bool {
        if self.may_send() && self.crashes > 0 {
            let (shared, parts) = (self.shared, &self.request.shared_parts);
            let is_blameless = self.crashes <= MAX_CRASHES
                && shared.crash_reporter.are_blameless(shared, parts).await;
            if !is_blameless {
                slog::info!(shared.log, "request: Not sent again, it may crash engines.";
                    "request" => &self.request.id, "crashes" => self.crashes);
                return false;
            }
        }
        self.may_retry()
    }

    /// Rejects a request with a part that crashes engines.
    ///
    /// # Errors
    ///
    /// Returns the gateway's own response if the request has such a part.
    pub(super) fn check_quarantine(&self) -> Result<(), GatewayResponse> {
        let (shared, request) = (self.shared, self.request);
        let parts = &request.shared_parts;
        let Some((part, left)) = shared.quarantine.time_left(parts, shared.now()) else {
            return Ok(());
        };
        let position = parts.iter().position(|other| *other == part);
        slog::info!(shared.log, "request: Its prompt is quarantined.";
            "request" => &request.id, "part" => %part, "position" => position,
            "prompt" => request.prompt_text(), "left" => %left);
        match self.history.prove_not_run() {
            Some(proof) => Err(GatewayResponse::quarantined(proof, left)),
            None => Err(GatewayResponse::outcome_unknown()),
        }
    }

    /// The gateway's own response to a request for which no target can be chosen.
    fn no_target_response(&self) -> GatewayResponse {
        let candidates = self.shared.ready_targets(&self.request.service);
        let rate = self.shared.limited_rate(&candidates);
        let Some(rate) = rate.filter(|_| !candidates.is_empty()) else {
            return self.failure_response("no_target");
        };
        let Some(proof) = self.history.prove_not_run() else {
            return self.failure_response("over_limit");
        };
        let left = self.request.time_left(self.shared.now());
        let service = &self.request.service;
        let least = self.closed_for(&candidates).unwrap_or_default();
        let wait = self.shared.assign_return(service, rate, least, left);
        GatewayResponse::over_limit(proof, self.until_warm(&candidates, wait))
    }

    /// Shortens the wait of a rejected caller for its turn at cold targets to not much
    /// after the first of them is warm. From then on it takes many more requests.
    fn until_warm(&self, candidates: &[Arc<TargetRecord>], wait: TimeSpan) -> TimeSpan {
        let limits = candidates
            .iter()
            .filter_map(|record| self.shared.request_limit(record));
        let warm_in = limits.map(|limit| limit.retry_after(wait)).min();
        let warm_in = warm_in.unwrap_or(wait);
        // A target that has asked for a pause takes no request before its end.
        let (loads, now) = (self.shared.loads.borrow(), self.shared.now());
        let pauses = candidates.iter();
        let pauses = pauses.map(|record| loads.requested_backoff(record, now));
        let warm_in = warm_in.max(pauses.min().unwrap_or_default()).min(wait);
        let later = wait.saturating_sub(warm_in).as_millis();
        let most_extra = later * RETRY_JITTER_PERCENT / 100;
        warm_in + TimeSpan::from_millis(self.shared.random() % (most_extra + 1))
    }

    /// Rejects a request whose targets are all closed for longer than it can wait
    /// for them, or that needs a service whose targets are all evacuated, before its
    /// stages do work that would be lost.
    ///
    /// # Errors
    ///
    /// Returns the gateway's own response if the request can't be served.
    pub(super) fn check_open(&self) -> Result<(), GatewayResponse> {
        let stages = self.request.route.stages.iter();
        let mut services = stages.map(|stage| &stage.service);
        if self.shared.is_service_evacuated(&self.request.service)
            || services.any(|service| self.shared.is_service_evacuated(service))
        {
            return Err(self.failure_response("evacuated"));
        }
        let candidates = self.shared.ready_targets(&self.request.service);
        let left = self.shared.now().until(self.request.first_event_deadline());
        let longest = TimeSpan::from_millis(left.as_millis() / 2);
        match self.closed_for(&candidates) {
            Some(closed_for) if closed_for > longest => Err(self.no_target_response()),
            _ => Ok(()),
        }
    }

    /// Time until the first of the candidates may get requests again, if none of
    /// them may now.
    fn closed_for(&self, candidates: &[Arc<TargetRecord>]) -> Option<TimeSpan> {
        let loads = self.shared.loads.borrow();
        loads.shortest_backoff(candidates, self.shared.now())
    }

    /// The gateway's own response to a request that is not sent any more.
    pub(super) fn failure_response(&self, code: &'static str) -> GatewayResponse {
        if let Some(proof) = self.history.prove_not_run() {
            return GatewayResponse::not_run(proof, code, self.retry_after());
        }
        if self.request.time_left(self.shared.now()).is_zero() {
            return GatewayResponse::timed_out();
        }
        GatewayResponse::outcome_unknown()
    }

    /// `Retry-After` of a request that no target accepted: the time until the
    /// first target accepts requests again, plus jitter.
    fn retry_after(&self) -> TimeSpan {
        let candidates = self.shared.ready_targets(&self.request.service);
        let closed_for = self.closed_for(&candidates).unwrap_or_default();
        let least = closed_for.clamp(MIN_REFUSED_RETRY_AFTER, MAX_REFUSED_RETRY_AFTER);
        let room = MAX_RETRY_AFTER.saturating_sub(least).as_millis();
        let most_extra = room.min(least.as_millis() * RETRY_JITTER_PERCENT / 100);
        least + TimeSpan::from_millis(self.shared.random() % (most_extra + 1))
    }

    /// Obtains a permit to send the request to a target. If no other target is
    /// usable, waits for one.
    async fn acquire_permit(&self, record: &Arc<TargetRecord>) -> Result<SendPermit, PermitDenied> {
        let permit = PermitRequest {
            record,
            purpose: CallPurpose::Request,
            request: Some(&self.request.id),
            patience: self.permit_patience(record),
        };
        self.shared.permits.acquire(self.shared, permit).await
    }

    /// Longest useful wait for a permit: zero while another target is usable, else
    /// half of the time until the answer is due, so that the other half is left for
    /// the target. A request whose stages are done, or whose caller comes back after
    /// a rejection, is due at its deadline: the work of the stages would be lost, and
    /// callers come back seldom more than once.
    fn permit_patience(&self, record: &Arc<TargetRecord>) -> TimeSpan {
        let shared = self.shared;
        let candidates = shared.ready_targets(&self.request.service);
        let unusable = shared
            .loads
            .borrow()
            .unusable(&candidates, &self.choice_ask());
        let mut others = candidates.iter().filter(|other| other.id != record.id);
        if others.any(|other| !unusable.contains(&other.id)) {
            return TimeSpan::ZERO;
        }
        let request = self.request;
        let has_returned = request.first_sent_at < request.received_at;
        let due = if self.inputs.is_some() || has_returned {
            request.first_event_deadline()
        } else {
            request.goal_at()
        };
        let left = shared.now().until(due).as_millis();
        TimeSpan::from_millis(left / 2)
    }

    async fn attempt(
        &mut self,
        permit: SendPermit,
        resume_point: Option<&mut ResumePoint<'_>>,
    ) -> Result<TargetExchange, SendError> {
        let record = &Arc::clone(permit.record());
        let request = self.request;
        let left = request.time_left(self.shared.now());
        let extras = ForwardExtras {
            inputs: self.inputs.as_deref(),
            last_event: resume_point.as_ref().and_then(|point| point.last_event),
        };
        let call = TargetCall {
            method: &request.head.method,
            target: &request.head.target,
            headers: forward_headers(request, record, left, extras),
            body: has_body(request).then_some(&request.body),
            request: Some(&request.id),
            purpose: CallPurpose::Request,
            head_timeout: self.head_timeout(left),
        };
        self.history.record_send(record.id.clone());
        request.set_progress(RequestProgress::Sent);
        if self.history.send_count() == 1 {
            self.shared.retry_budget.earn();
        }
        if let Some(assignment) = &mut self.assignment {
            assignment.record_send();
        }
        let begun = self.shared.now();
        let result = self.begin_exchange(permit, call, resume_point).await;
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
        let pace = self.assignment.as_ref().and_then(EngineAssignment::pace);
        slog::info!(self.shared.log, "request: Attempt ended.";
            "request" => &request.id, "target" => %record.id, "zone" => %record.zone,
            "attempt" => self.history.try_count(), "end" => end,
            "targets_revision" => %record.revision, "left" => %left,
            "chooser" => self.assignment.as_ref().map(|assignment| assignment.chooser().to_string()),
            "pace_percent" => pace.map(|pace| pace.percent),
            "lasting_pace_percent" => pace.map(|pace| pace.lasting_percent),
            "pace_age_ms" => pace.and_then(|pace| pace.age).map(TimeSpan::as_millis),
            "took" => %self.shared.now().since(begun));
        if let Err(SendError::ConnectionLost(reason)) = &result {
            self.record_broken_answer(record, AnswerPhase::Sent, reason);
        }
        result
    }

    /// Sends a call. The previous exchange of a stream that is resumed is closed
    /// unless the target refuses the call or can't be reached, and in any case
    /// [`RESUME_OVERLAP`] after it was sent.
    async fn begin_exchange(
        &self,
        permit: SendPermit,
        call: TargetCall<'_>,
        resume_point: Option<&mut ResumePoint<'_>>,
    ) -> Result<TargetExchange, SendError> {
        let begin = TargetExchange::begin(self.shared, permit, call);
        let Some(point) = resume_point else {
            return begin.await;
        };
        let mut begin = pin!(begin);
        let result = if let Some(result) = within(RESUME_OVERLAP, begin.as_mut()).await {
            result
        } else {
            point.previous.close();
            begin.await
        };
        let is_not_run = match &result {
            Ok(exchange) => exchange.head.headers.get(headers::NOT_RUN).is_some(),
            Err(error) => error.is_not_run(),
        };
        if !is_not_run {
            point.previous.close();
        }
        result
    }

    /// Records that the request waits again if it is certain that no target has it.
    fn update_progress(&self) {
        if self.history.prove_not_run().is_some() {
            self.request.set_progress(RequestProgress::Waiting);
        }
    }

    /// Records an answer that broke off with its connection. Unless the answer had
    /// settled, the request may have crashed the target.
    pub(super) fn record_broken_answer(
        &mut self,
        record: &TargetRecord,
        phase: AnswerPhase,
        reason: &str,
    ) {
        let (shared, request) = (self.shared, self.request);
        let answers = &shared.metrics.broken_answers;
        answers
            .with_label_values(&[request.service.as_str(), phase.label()])
            .inc();
        slog::warn!(shared.log, "request: Answer broke off.";
            "request" => &request.id, "target" => %record.id, "started_at" => record.started_at,
            "phase" => %phase, "prompt" => request.prompt_text(), "reason" => reason);
        let parts = &request.shared_parts;
        if phase != AnswerPhase::Settled && !parts.is_empty() {
            self.crashes += 1;
            shared.crash_reporter.report(shared, record, parts);
        }
    }

    /// Timeout for the head of the response: all the time left, or less if the
    /// request can still be sent to another target.
    fn head_timeout(&self, left: TimeSpan) -> TimeSpan {
        let route = &self.request.route;
        let is_last = self.history.send_count() + 1 >= route.attempts || !route.may_repeat();
        if is_last {
            return left;
        }
        let timeout = if route.kind == RouteKind::Streaming {
            route.goal
        } else {
            route.goal * PLAIN_ATTEMPT_GOAL_MULTIPLE
        };
        timeout.max(MIN_ATTEMPT_TIMEOUT).min(left)
    }

    /// Reports to the node that chose the engine that the engine has read the
    /// prompt.
    pub(super) fn report_prompt_read(&self) {
        if let Some(assignment) = &self.assignment {
            assignment.report_read();
        }
    }

    /// Reports to the node that chose the engine how the work on the request
    /// ended.
    pub(super) fn end_assignment(&mut self, end: PromptStep) {
        if let Some(assignment) = self.assignment.take() {
            assignment.finish(end);
        }
    }

    /// Chooses the next target. For a prompt, the node that chooses engines for
    /// all nodes is asked first. This node makes the choice if there is no such
    /// node, if that node does not answer, or if it names no engine or one that
    /// can't be used.
    async fn choose_target(&mut self) -> Option<Arc<TargetRecord>> {
        self.assignment = None;
        let Some((key, ask)) = self.engine_ask() else {
            return self.choose_locally();
        };
        let candidates = self.candidates();
        let engines = &self.shared.engines;
        self.assignment = engines.choose(self.shared, &key, &ask, &candidates).await;
        match &self.assignment {
            Some(assignment) => Some(Arc::clone(assignment.record())),
            None => self.choose_locally(),
        }
    }

    /// The question for the node that chooses engines, and the key that selects
    /// this node. `None` if the request has no prompt.
    fn engine_ask(&self) -> Option<(String, EngineQuery)> {
        let request = self.request;
        request.config.engine_memory(&request.service)?;
        let parts = decode_prompt_parts(request.head.headers.text(headers::PROMPT_PARTS)?)?;
        let (own, shared) = parts.split_last()?;
        let key = shared
            .last()
            .map_or_else(|| request.id.clone(), |part| format!("{:016x}", part.hash));
        let candidates = self.candidates();
        let mut avoid = {
            let loads = self.shared.loads.borrow();
            loads.unusable(&candidates, &self.choice_ask())
        };
        if self.is_over_limit {
            let used: BTreeSet<&TargetId> = candidates.iter().map(|record| &record.id).collect();
            let ready = self.shared.ready_targets(&request.service);
            let left_out = ready.iter().filter(|record| !used.contains(&record.id));
            avoid.extend(left_out.map(|record| record.id.clone()));
        }
        let ask = EngineQuery {
            service: request.service.clone(),
            request: request.id.clone(),
            shared: shared.to_vec(),
            own: own.tokens,
            results: self.results.clone(),
            avoid,
        };
        Some((key, ask))
    }

    /// Targets among which the request's is chosen. Once a target had no permit left,
    /// those without a limit, if one of them is usable: when all targets of a zone
    /// start, idle and cold, the request would be denied by one after the other.
    fn candidates(&self) -> Vec<Arc<TargetRecord>> {
        let ready = self.shared.ready_targets(&self.request.service);
        if !self.is_over_limit {
            return ready;
        }
        let unlimited = ready.iter();
        let unlimited = unlimited.filter(|record| self.shared.request_limit(record).is_none());
        let unlimited: Vec<_> = unlimited.cloned().collect();
        let loads = self.shared.loads.borrow();
        if loads.choose(&unlimited, &self.choice_ask()).is_some() {
            unlimited
        } else {
            ready
        }
    }

    fn choose_locally(&self) -> Option<Arc<TargetRecord>> {
        let candidates = self.candidates();
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

    /// Reads a refusal to its end, so that the connection can be reused.
    async fn read_refusal(&self, mut exchange: TargetExchange) {
        let limit = REFUSAL_TIMEOUT.min(self.request.time_left(self.shared.now()));
        let read = within(limit, exchange.collect()).await;
        if let Err(error) = read.unwrap_or(Err(SendError::Stalled)) {
            slog::debug!(self.shared.log, "request: Could not read a refusal to its end.";
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

/// Hash of the last part of the prompt that is shared with other requests. The
/// very last part belongs to this request alone.
fn prompt_affinity(request: &ActiveRequest) -> Option<u64> {
    let parts = decode_prompt_parts(request.head.headers.text(headers::PROMPT_PARTS)?)?;
    let (_, shared) = parts.split_last()?;
    shared.last().map(|part| part.hash)
}
