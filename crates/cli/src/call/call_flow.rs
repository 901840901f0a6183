use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Method, StatusCode};
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    protocol::{AnswerOutcome, ErrorBody, headers, paths},
};

use super::{
    AnswerSink, CallPlan, CallReport, CallTrouble, step_end::StepEnd, stream_check::StreamCheck,
};
use crate::{
    consts::{ANSWER_LIMIT, PAGE_LIMIT},
    http::{ClientError, NodeAnswer, NodeClient, OutgoingCall},
};

const STREAM_TYPE: &str = "application/x-ndjson";

/// Runs one request to its end: sends it, follows a ticket, and calls the
/// ticket again, through another node each time, while that may help.
///
/// A first call is repeated only after a broken connection and before any
/// piece of the answer: a pipeline that is not idempotent runs nothing at the
/// first call, any other may run more than once.
pub async fn run_call<S>(client: &NodeClient, plan: &CallPlan, sink: &mut S) -> CallReport
where
    S: AnswerSink,
{
    let mut flow = CallFlow::new(client, plan, sink);
    let timeout = async {
        Timer::after(plan.timeout.into()).await;
        None
    };
    let end = async { Some(flow.run().await) }.or(timeout).await;
    flow.into_report(end)
}

struct CallFlow<'a, S> {
    client: &'a NodeClient,
    plan: &'a CallPlan,
    sink: &'a mut S,
    turn: usize,
    sent: bool,
    report: CallReport,
}

impl<'a, S> CallFlow<'a, S>
where
    S: AnswerSink,
{
    fn new(client: &'a NodeClient, plan: &'a CallPlan, sink: &'a mut S) -> Self {
        let report = CallReport {
            outcome: AnswerOutcome::NotRun,
            request: None,
            node: None,
            calls: 0,
            ticket: None,
            tokens: 0,
            bytes: 0,
            trouble: None,
        };
        Self {
            client,
            plan,
            sink,
            turn: 0,
            sent: false,
            report,
        }
    }

    async fn run(&mut self) -> StepEnd {
        match self.first_call().await {
            StepEnd::Ticket(path) => self.call_ticket(path).await,
            end => end,
        }
    }

    async fn first_call(&mut self) -> StepEnd {
        let path = format!("{}{}", paths::PIPELINES, self.plan.pipeline);
        let mut tries = 0;
        loop {
            let end = self.call(&path).await;
            tries += 1;
            let repeat = matches!(end, StepEnd::Broken { .. }) && self.report.bytes == 0;
            if !repeat || tries >= self.plan.first_tries {
                return end;
            }
            self.turn += 1;
        }
    }

    async fn call_ticket(&mut self, path: String) -> StepEnd {
        self.report.ticket = Some(path.clone());
        // Nothing ran before the first call of the ticket.
        self.sent = false;
        let mut tries = 0;
        loop {
            let end = self.call(&path).await;
            tries += 1;
            let repeat = end.is_worth_repeating() && self.report.bytes == 0;
            if !repeat || tries >= self.plan.ticket_tries {
                return end;
            }
            Timer::after(self.pause_after(&end)).await;
            self.turn += 1;
        }
    }

    fn pause_after(&self, end: &StepEnd) -> Duration {
        let asked = match end {
            StepEnd::Refused(body) => body.retry_after_ms.map(TimeSpan::from_millis),
            _ => None,
        };
        asked.unwrap_or_default().max(self.plan.pause).into()
    }

    /// Makes one call through the node whose turn it is.
    async fn call(&mut self, path: &str) -> StepEnd {
        let node = self.plan.nodes[self.turn % self.plan.nodes.len()];
        self.report.calls += 1;
        self.report.node = Some(node);
        let call = OutgoingCall {
            method: Method::Post,
            path: path.to_owned(),
            headers: self.plan.headers(),
            body: self.plan.body.clone(),
        };
        let end = match self.client.send(node, &call).await {
            Ok(answer) => self.read_answer(answer).await,
            Err(error) => broken(&error),
        };
        self.sent |= end.outcome() == AnswerOutcome::OutcomeUnknown;
        end
    }

    async fn read_answer(&mut self, answer: NodeAnswer) -> StepEnd {
        let request = answer.header(headers::REQUEST_ID).map(str::to_owned);
        if request.is_some() {
            self.report.request.clone_from(&request);
        }
        let streamed = answer
            .header("content-type")
            .is_some_and(|value| value.starts_with(STREAM_TYPE));
        match answer.status() {
            StatusCode::Ok if streamed => {
                let check = StreamCheck::new(answer.into_lines(), request);
                let end = check.run(self.sink).await;
                self.report.tokens += end.tokens;
                self.report.bytes += end.bytes;
                end.end
            }
            StatusCode::Ok => self.read_bytes(answer).await,
            StatusCode::TemporaryRedirect => read_ticket(answer).await,
            _ => read_error(answer).await,
        }
    }

    async fn read_bytes(&mut self, answer: NodeAnswer) -> StepEnd {
        match answer.read_all(ANSWER_LIMIT).await {
            Ok(bytes) => {
                self.report.bytes += bytes.len() as u64;
                self.sink.take_bytes(&bytes);
                StepEnd::Whole
            }
            Err(error) => StepEnd::Damaged(error.to_string()),
        }
    }

    fn into_report(self, end: Option<StepEnd>) -> CallReport {
        let mut report = self.report;
        let Some(end) = end else {
            report.outcome = AnswerOutcome::OutcomeUnknown;
            let message = format!("no whole answer within {}", self.plan.timeout);
            report.trouble = Some(CallTrouble::Connection(message));
            return report;
        };
        report.outcome = match end.outcome() {
            // An earlier call of the same request may have run it.
            AnswerOutcome::NotRun if self.sent => AnswerOutcome::OutcomeUnknown,
            outcome => outcome,
        };
        report.trouble = end.into_trouble();
        report
    }
}

fn broken(error: &ClientError) -> StepEnd {
    StepEnd::Broken {
        sent: error.may_have_been_sent(),
        message: error.to_string(),
    }
}

async fn read_ticket(answer: NodeAnswer) -> StepEnd {
    let location = answer.header("location").unwrap_or_default().to_owned();
    if !location.starts_with(paths::TICKETS) {
        return StepEnd::Damaged(format!("`{location}` is not the path of a ticket"));
    }
    // The body says nothing more; reading it keeps the connection.
    match answer.read_all(PAGE_LIMIT).await {
        Ok(_) => StepEnd::Ticket(location),
        Err(error) => broken(&error),
    }
}

async fn read_error(answer: NodeAnswer) -> StepEnd {
    let status = answer.status();
    let body = match answer.read_all(PAGE_LIMIT).await {
        Ok(body) => body,
        Err(error) => return broken(&error),
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => StepEnd::Refused(body),
        Err(_) => StepEnd::Damaged(format!("status {status} without an error body")),
    }
}
