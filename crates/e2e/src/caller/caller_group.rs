use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{CallerVerdict, NodeBalancer, PipelineCaller, SamplePipeline, SentRequest};

/// Tries of one ticket at most.
const TICKET_TRIES: usize = 4;
/// Longest that a caller of a group waits for one answer.
const GROUP_LIMIT: Duration = Duration::from_secs(5);
/// Pause of a caller after a call that was not answered whole.
const PAUSE: Duration = Duration::from_millis(20);

/// Callers that send one request after another until they are stopped.
#[derive(Debug)]
pub struct CallerGroup {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<SentRequest>>>,
}

#[derive(Debug)]
struct CallerLoop {
    label: String,
    balancer: Arc<NodeBalancer>,
    pipeline: SamplePipeline,
    index: usize,
    stop: Arc<AtomicBool>,
}

impl CallerGroup {
    /// Starts a number of callers of each pipeline, spread over the nodes of a balancer.
    #[must_use]
    pub fn start(
        label: &str,
        balancer: &Arc<NodeBalancer>,
        pipelines: &[SamplePipeline],
        callers: usize,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for pipeline in pipelines.iter().copied() {
            for index in 0..callers {
                let caller = CallerLoop {
                    label: format!("{label}/{}/{index}", pipeline.name()),
                    balancer: balancer.clone(),
                    index,
                    pipeline,
                    stop: stop.clone(),
                };
                threads.push(thread::spawn(move || caller.run()));
            }
        }
        Self { stop, threads }
    }

    /// Stops the callers and gives all requests that they sent.
    ///
    /// # Panics
    ///
    /// Panics when a caller has panicked.
    #[must_use]
    pub fn stop(self) -> Vec<SentRequest> {
        self.stop.store(true, Ordering::SeqCst);
        let sent = self.threads.into_iter().map(JoinHandle::join);
        sent.flat_map(|requests| requests.expect("a caller"))
            .collect()
    }
}

impl CallerLoop {
    fn run(&self) -> Vec<SentRequest> {
        let mut requests = Vec::new();
        while !self.stop.load(Ordering::SeqCst) {
            let number = requests.len();
            let request = self.send(number);
            if !request.is_whole() {
                thread::sleep(PAUSE);
            }
            requests.push(request);
        }
        requests
    }

    fn send(&self, number: usize) -> SentRequest {
        let body = format!("request {number} of {}", self.label).into_bytes();
        let verdicts = if self.pipeline.streams() {
            vec![self.caller(number).call(self.pipeline, &body)]
        } else {
            self.send_with_ticket(number, &body)
        };
        SentRequest {
            pipeline: self.pipeline,
            body,
            verdicts,
        }
    }

    fn send_with_ticket(&self, number: usize, body: &[u8]) -> Vec<CallerVerdict> {
        let ticket = match self.caller(number).ticket(self.pipeline, body) {
            Ok(ticket) => ticket,
            Err(verdict) => return vec![verdict],
        };
        let mut verdicts = Vec::new();
        for attempt in 0..TICKET_TRIES {
            let caller = self.caller(number + attempt);
            let verdict = caller.redeem(self.pipeline, &ticket, body);
            let whole = verdict.whole().is_some();
            verdicts.push(verdict);
            if whole {
                break;
            }
            thread::sleep(PAUSE);
        }
        verdicts
    }

    fn caller(&self, number: usize) -> PipelineCaller {
        let node = self.balancer.choose(self.index + number);
        PipelineCaller::new(node).limit(GROUP_LIMIT)
    }
}
