use std::collections::{HashMap, HashSet};

use verbenahub_core::ids::{RequestId, StageName};
use verbenahub_standins::load::RunEntry;

use super::{CallerVerdict, SamplePipeline, SentRequest};
use crate::cluster::{RunningCluster, TargetPool, TargetProcess};

/// What an audit of requests against the stand-ins found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditReport {
    /// Requests that were looked at.
    pub requests: usize,
    /// Requests whose answer came back whole.
    pub whole: usize,
    /// Breaches of a promise, each in words.
    pub breaches: Vec<String>,
}

/// What the stand-ins ran.
#[derive(Debug)]
struct RunRecord {
    bookings: HashMap<u64, usize>,
    requests: HashSet<RequestId>,
    /// Stages of one request that ran on different inputs, in words.
    crossings: Vec<String>,
}

impl AuditReport {
    /// Holds what callers were told against what the stand-ins ran.
    ///
    /// Call it when the callers have stopped.
    #[must_use]
    pub fn of_cluster(cluster: &RunningCluster, sent: &[SentRequest]) -> Self {
        let record = RunRecord::read(cluster);
        let mut report = Self {
            requests: sent.len(),
            breaches: record.crossings.clone(),
            ..Self::default()
        };
        for request in sent {
            report.whole += usize::from(request.is_whole());
            report.check_answers(request);
            report.check_not_run(request, &record);
            report.check_booking(request, &record);
        }
        report
    }

    /// Adds another report.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.breaches.extend(other.breaches);
    }

    fn check_answers(&mut self, request: &SentRequest) {
        let expected = request.pipeline.expected(&request.body);
        for verdict in &request.verdicts {
            match verdict {
                CallerVerdict::Whole(answer) if *answer != expected => {
                    let answer = String::from_utf8_lossy(answer).into_owned();
                    self.breach(request, &format!("a wrong answer: {answer}"));
                }
                CallerVerdict::Malformed(message) => {
                    self.breach(request, &format!("a malformed answer: {message}"));
                }
                _ => {}
            }
        }
    }

    /// A request that was told to have not run must not be known to any target.
    ///
    /// The request of a ticket may run at a later try.
    fn check_not_run(&mut self, request: &SentRequest, record: &RunRecord) {
        if !request.never_ran() {
            return;
        }
        for body in request.verdicts.iter().filter_map(CallerVerdict::not_run) {
            let known = body
                .request
                .as_ref()
                .is_some_and(|id| record.requests.contains(id));
            if known {
                self.breach(request, &format!("was told `not_run` and ran: {body:?}"));
            }
        }
    }

    fn check_booking(&mut self, request: &SentRequest, record: &RunRecord) {
        if request.pipeline != SamplePipeline::Visit {
            return;
        }
        let digest = request.pipeline.last_digest(&request.body);
        let count = record.bookings.get(&digest).copied().unwrap_or(0);
        if count > 1 {
            self.breach(request, &format!("was booked {count} times"));
        }
        if count == 0 && request.is_whole() {
            self.breach(request, "was answered whole and not booked");
        }
        if count > 0 && request.never_ran() {
            self.breach(request, "was told `not_run` and booked");
        }
    }

    fn breach(&mut self, request: &SentRequest, message: &str) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.breaches
            .push(format!("{body}: {message}; told: {:?}", request.verdicts));
    }
}

impl RunRecord {
    fn read(cluster: &RunningCluster) -> Self {
        let mut bookings: HashMap<u64, usize> = HashMap::new();
        for entry in cluster.bookings() {
            if entry.state.took_effect() {
                *bookings.entry(entry.digest).or_default() += 1;
            }
        }
        let targets = cluster.targets.iter();
        let requests = targets
            .clone()
            .flat_map(TargetProcess::runs)
            .map(|run| run.label.request)
            .collect();
        // A resumed stream carries the text so far, so engines are left out.
        let pools = targets.filter(|target| target.pool != TargetPool::Engines);
        let crossings = find_crossings(pools.flat_map(TargetProcess::runs));
        Self {
            bookings,
            requests,
            crossings,
        }
    }
}

fn find_crossings<I>(runs: I) -> Vec<String>
where
    I: Iterator<Item = RunEntry>,
{
    let mut inputs: HashMap<(RequestId, StageName), u64> = HashMap::new();
    let mut crossings = Vec::new();
    for run in runs {
        let label = run.label;
        let known = inputs
            .entry((label.request.clone(), label.stage.clone()))
            .or_insert(run.digest);
        if *known != run.digest {
            crossings.push(format!("two inputs at one stage: {label:?}"));
        }
    }
    crossings
}
