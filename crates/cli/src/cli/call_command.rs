use std::{
    env,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
};

use argh::FromArgs;
use serde::Serialize;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{PipelineName, WorkspaceId},
    protocol::AnswerOutcome,
};

use crate::{
    call::{AnswerSink, CallPlan, CallReport, CallTrouble, run_call},
    consts::{BODY_LIMIT, SECRET_VARIABLE},
    exit_status::ExitStatus,
    http::NodeClient,
    input,
    tool_error::ToolError,
    utils,
};

/// First calls of one request, at most.
const FIRST_TRIES: u32 = 3;

/// Sends one request and writes its answer to standard output as it comes.
/// Follows the ticket of a pipeline that is not idempotent, and calls the
/// ticket again through the other nodes while that may help. Exit codes: 0
/// done, 3 failed, 4 not run, 5 outcome unknown.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub struct CallCommand {
    /// address and port of a node; may be repeated, the first is tried first
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// name of the pipeline
    #[argh(option)]
    pub pipeline: PipelineName,
    /// id of the workspace
    #[argh(option)]
    pub workspace: WorkspaceId,
    /// secret of the workspace; better given in `VERBENAHUB_SECRET`
    #[argh(option)]
    pub secret: Option<String>,
    /// a deadline shorter than the record's, such as `2 s`
    #[argh(option)]
    pub deadline: Option<TimeSpan>,
    /// key under which one node gives the same ticket again
    #[argh(option)]
    pub idempotency_key: Option<String>,
    /// trace context to join, as W3C `traceparent`
    #[argh(option)]
    pub traceparent: Option<String>,
    /// most calls of a ticket (default 5)
    #[argh(option, default = "5")]
    pub tries: u32,
    /// shortest pause before a ticket is called again (default 300 ms)
    #[argh(option, default = "TimeSpan::from_millis(300)")]
    pub pause: TimeSpan,
    /// longest time for everything (default 30 s)
    #[argh(option, default = "TimeSpan::from_secs(30)")]
    pub timeout: TimeSpan,
    /// write one JSON object with the answer and what became of the request
    #[argh(switch)]
    pub json: bool,
    /// file with the body of the request; standard input if none or `-`
    #[argh(positional)]
    pub body: Option<PathBuf>,
}

/// The answer and what became of the request.
#[derive(Debug, Serialize)]
struct CallOutput<'a> {
    #[serde(flatten)]
    report: &'a CallReport,
    answer: String,
}

/// Keeps the answer, and writes it out unless it is wanted as JSON.
#[derive(Debug)]
struct OutputSink {
    show: bool,
    answer: Vec<u8>,
    fault: Option<io::Error>,
}

impl CallCommand {
    /// Sends the request.
    ///
    /// # Errors
    ///
    /// Fails when the options or the body cannot be used.
    pub fn run(self) -> Result<ExitStatus, ToolError> {
        let json = self.json;
        let plan = self.into_plan()?;
        let mut sink = OutputSink {
            show: !json,
            answer: Vec::new(),
            fault: None,
        };
        let client = NodeClient::new();
        let report = smol::block_on(run_call(&client, &plan, &mut sink));
        if let Some(error) = sink.fault {
            return Err(ToolError::Output(error));
        }
        if json {
            let answer = String::from_utf8_lossy(&sink.answer).into_owned();
            let report = &report;
            utils::print_json(&CallOutput { report, answer })?;
        } else {
            explain(&report);
        }
        Ok(report.outcome.into())
    }

    fn into_plan(self) -> Result<CallPlan, ToolError> {
        if self.node.is_empty() {
            return Err(ToolError::NoNode);
        }
        let secret = self.secret.or_else(|| env::var(SECRET_VARIABLE).ok());
        let path = self.body.unwrap_or_else(|| PathBuf::from("-"));
        Ok(CallPlan {
            nodes: self.node,
            pipeline: self.pipeline,
            workspace: self.workspace,
            secret: secret.ok_or(ToolError::NoSecret(SECRET_VARIABLE))?,
            body: input::read_input(&path, BODY_LIMIT)?.into(),
            deadline: self.deadline,
            idempotency_key: self.idempotency_key,
            traceparent: self.traceparent,
            first_tries: FIRST_TRIES,
            ticket_tries: self.tries,
            pause: self.pause,
            timeout: self.timeout,
        })
    }
}

impl OutputSink {
    fn write(&mut self, bytes: &[u8]) {
        if !self.show {
            self.answer.extend_from_slice(bytes);
            return;
        }
        let mut output = io::stdout().lock();
        let written = output.write_all(bytes).and_then(|()| output.flush());
        if let Err(error) = written {
            self.fault.get_or_insert(error);
        }
    }
}

impl AnswerSink for OutputSink {
    fn take_tokens(&mut self, _tokens: u64, text: &str) {
        self.write(text.as_bytes());
    }

    fn take_bytes(&mut self, bytes: &[u8]) {
        self.write(bytes);
    }
}

/// Says on standard error what became of the request.
fn explain(report: &CallReport) {
    if report.bytes > 0 {
        eprintln!();
    }
    let request = report.request.as_deref().unwrap_or("without an id");
    let (outcome, calls) = (report.outcome, report.calls);
    eprintln!("request {request}: {outcome} after {calls} calls");
    if let Some(trouble) = &report.trouble {
        explain_trouble(trouble);
    }
    if report.outcome == AnswerOutcome::OutcomeUnknown {
        explain_unknown(report.ticket.as_deref());
    }
}

fn explain_trouble(trouble: &CallTrouble) {
    eprintln!("{}", trouble.message());
    if let CallTrouble::Error(body) = trouble
        && let Some(millis) = body.retry_after_ms
    {
        eprintln!("come back after {}", TimeSpan::from_millis(millis));
    }
}

fn explain_unknown(ticket: Option<&str>) {
    match ticket {
        Some(path) => eprintln!(
            "The request may or may not have run. Send the same body to {path} again for a \
             while, through any node; it runs at most once. Take no new ticket for it before \
             the service or a person has said that it did not run."
        ),
        None => eprintln!(
            "The request may or may not have run. The pipeline gave no ticket, so it is \
             idempotent or nothing was run: the request may be sent again."
        ),
    }
}
