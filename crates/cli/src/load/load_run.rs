use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use fastrand::Rng;
use smol::{Executor, Task, Timer};
use verbenahub_core::clock::TimeSpan;

use super::{
    ArrivalSchedule, BodyMaker, CostTable, LoadPlan, RequestSample, SampleEnd,
    sample_sink::SampleSink,
};
use crate::{
    call::{CallPlan, CallTrouble, run_call},
    http::NodeClient,
    stats::{LoadStats, LoadSummary},
};

/// Calls of a ticket within one request.
const TICKET_TRIES: u32 = 5;
/// First calls within one request.
const FIRST_TRIES: u32 = 2;
/// Pause before a ticket is called again.
const TICKET_PAUSE: TimeSpan = TimeSpan::from_millis(200);
/// Arrivals between two looks for tasks that have ended.
const SWEEP_INTERVAL: usize = 1_024;

/// Runs a load to its end and sums it up.
#[must_use]
pub fn run_load(plan: LoadPlan) -> LoadSummary {
    let executor = Executor::new();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let plan = Arc::new(plan);
    thread::scope(|scope| {
        for _ in 0..plan.threads {
            scope.spawn(|| smol::block_on(executor.run(stopped.recv())));
        }
        let summary = smol::block_on(LoadRun::new(&executor, Arc::clone(&plan)).run());
        drop(stop);
        summary
    })
}

struct LoadRun<'a> {
    executor: &'a Executor<'static>,
    plan: Arc<LoadPlan>,
    client: NodeClient,
    start: Instant,
    in_flight: Arc<AtomicUsize>,
    tasks: Vec<Task<()>>,
}

impl<'a> LoadRun<'a> {
    fn new(executor: &'a Executor<'static>, plan: Arc<LoadPlan>) -> Self {
        Self {
            executor,
            plan,
            client: NodeClient::new(),
            start: Instant::now(),
            in_flight: Arc::default(),
            tasks: Vec::new(),
        }
    }

    async fn run(mut self) -> LoadSummary {
        let (sender, receiver) = async_channel::unbounded();
        let stats = LoadStats::new(&self.plan);
        let collector = self.executor.spawn(collect(receiver, stats));
        let scrape = self.scrape_after_warmup();
        self.send_all(&sender).await;
        for task in std::mem::take(&mut self.tasks) {
            task.await;
        }
        drop(sender);
        let stats = collector.await;
        let before = scrape.await;
        let after = CostTable::scrape(&self.client, &self.plan.nodes).await;
        stats.sum_up(&after.since(&before))
    }

    fn scrape_after_warmup(&self) -> Task<CostTable> {
        let (client, plan) = (self.client.clone(), Arc::clone(&self.plan));
        let end = self.start + self.plan.warmup;
        self.executor.spawn(async move {
            Timer::at(end).await;
            CostTable::scrape(&client, &plan.nodes).await
        })
    }

    async fn send_all(&mut self, sender: &Sender<RequestSample>) {
        let plan = Arc::clone(&self.plan);
        let end = plan.warmup + plan.duration;
        let schedule = ArrivalSchedule::new(plan.seed, plan.rate, plan.burst, end);
        let mut bodies = BodyMaker::new(plan.seed);
        let mut rng = Rng::with_seed(plan.seed);
        for (number, due) in schedule.enumerate() {
            Timer::at(self.start + due).await;
            let part = plan.mix.choose(rng.f64());
            let body = bodies.make(&plan.mix.parts[part]);
            self.send_one(number, due, part, body, sender);
            if number % SWEEP_INTERVAL == 0 {
                self.tasks.retain(|task| !task.is_finished());
            }
        }
    }

    fn send_one(
        &mut self,
        number: usize,
        due: Duration,
        part: usize,
        body: Bytes,
        sender: &Sender<RequestSample>,
    ) {
        if self.in_flight.load(Ordering::Relaxed) >= self.plan.in_flight {
            // The receiver lives until all samples are in.
            let _ = sender.try_send(dropped(part, due));
            return;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let request = LoadRequest {
            client: self.client.clone(),
            plan: call_plan(&self.plan, part, number, body),
            part,
            due,
            start: self.start,
        };
        let (sender, in_flight) = (sender.clone(), Arc::clone(&self.in_flight));
        self.tasks.push(self.executor.spawn(async move {
            let sample = request.run().await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = sender.send(sample).await;
        }));
    }
}

struct LoadRequest {
    client: NodeClient,
    plan: CallPlan,
    part: usize,
    due: Duration,
    start: Instant,
}

impl LoadRequest {
    async fn run(self) -> RequestSample {
        let due = self.start + self.due;
        let mut sink = SampleSink::new(due);
        let report = run_call(&self.client, &self.plan, &mut sink).await;
        RequestSample {
            part: self.part,
            due: self.due,
            total: due.elapsed(),
            first_token: sink.first_token,
            token_gaps: sink.token_gaps,
            end: SampleEnd::of(&report),
            trouble: report.trouble.and_then(CallTrouble::into_unsaid),
        }
    }
}

async fn collect(receiver: Receiver<RequestSample>, mut stats: LoadStats) -> LoadStats {
    while let Ok(sample) = receiver.recv().await {
        stats.add(&sample);
    }
    stats
}

fn dropped(part: usize, due: Duration) -> RequestSample {
    RequestSample {
        part,
        due,
        total: Duration::ZERO,
        first_token: None,
        token_gaps: Vec::new(),
        end: SampleEnd::Dropped,
        trouble: None,
    }
}

fn call_plan(plan: &LoadPlan, part: usize, number: usize, body: Bytes) -> CallPlan {
    let part = &plan.mix.parts[part];
    let mut nodes = plan.nodes.clone();
    let first = number % nodes.len();
    nodes.rotate_left(first);
    CallPlan {
        nodes,
        pipeline: part.pipeline.clone(),
        workspace: part.workspace.clone(),
        secret: part.secret.clone().unwrap_or_default(),
        body,
        deadline: None,
        idempotency_key: None,
        traceparent: None,
        first_tries: FIRST_TRIES,
        ticket_tries: TICKET_TRIES,
        pause: TICKET_PAUSE,
        timeout: plan.timeout,
    }
}
