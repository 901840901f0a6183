use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, core::Collector,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.58, 1.0, 1.5, 2.0, 4.0, 8.0,
];

/// The metrics of the process.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Requests by pipeline, outcome and code.
    pub requests: IntCounterVec,
    /// Whole answers by pipeline and whether they met the deadline.
    pub attainment: IntCounterVec,
    /// Time from the arrival of a request to the end of its answer.
    pub request_seconds: HistogramVec,
    /// Time from the arrival of a request to the first token.
    pub first_token_seconds: HistogramVec,
    /// Time of one stage with all its attempts.
    pub stage_seconds: HistogramVec,
    /// Target time spent by stage, weighted with the stage's cost.
    pub stage_cost: prometheus::CounterVec,
    /// Attempts at stages by pool and result.
    pub attempts: IntCounterVec,
    /// Retries and hedges by pool and kind.
    pub extra_attempts: IntCounterVec,
    /// Pieces of answers that were dropped, by reason.
    pub dropped_chunks: IntCounterVec,
    /// Connections and requests refused before they had a pipeline, by reason.
    pub rejected: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Revision in force by feed.
    pub feed_revision: IntGaugeVec,
    /// Milliseconds since the newest confirmation of a feed.
    pub feed_age: IntGaugeVec,
    /// Records with findings.
    pub findings: IntGauge,
    /// Whether the node takes requests.
    pub ready: IntGauge,
    /// Members by state.
    pub members: IntGaugeVec,
    /// Calls of this node that the targets of a pool may run at once.
    pub pool_slots: IntGaugeVec,
    /// Calls of this node by pool and whether they run or wait for a slot.
    pub pool_calls: IntGaugeVec,
    /// Tickets by event.
    pub tickets: IntCounterVec,
}

impl NodeMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let maker = MetricMaker(&registry);
        Ok(Self {
            requests: maker.counter(
                "verbenahub_requests_total",
                "Requests by pipeline, outcome and code.",
                &["pipeline", "outcome", "code"],
            )?,
            attainment: maker.counter(
                "verbenahub_answers_total",
                "Whole answers by pipeline and whether they met the deadline.",
                &["pipeline", "in_time"],
            )?,
            request_seconds: maker.histogram(
                "verbenahub_request_seconds",
                "Time from the arrival of a request to the end of its answer.",
                &["pipeline"],
            )?,
            first_token_seconds: maker.histogram(
                "verbenahub_first_token_seconds",
                "Time from the arrival of a request to its first token.",
                &["pipeline"],
            )?,
            stage_seconds: maker.histogram(
                "verbenahub_stage_seconds",
                "Time of one stage with all its attempts.",
                &["pipeline", "stage"],
            )?,
            stage_cost: maker.register(prometheus::CounterVec::new(
                Opts::new(
                    "verbenahub_stage_cost_seconds_total",
                    "Target time spent by stage, weighted with the stage's cost.",
                ),
                &["pipeline", "stage"],
            )?)?,
            attempts: maker.counter(
                "verbenahub_attempts_total",
                "Attempts at stages by pool and result.",
                &["pool", "result"],
            )?,
            extra_attempts: maker.counter(
                "verbenahub_extra_attempts_total",
                "Retries, resumes and hedges by pool.",
                &["pool", "kind"],
            )?,
            dropped_chunks: maker.counter(
                "verbenahub_dropped_chunks_total",
                "Pieces of answers that were dropped, by reason.",
                &["reason"],
            )?,
            rejected: maker.counter(
                "verbenahub_rejected_total",
                "Connections and requests refused before they had a pipeline.",
                &["reason"],
            )?,
            in_flight: maker.gauge("verbenahub_requests_in_flight", "Requests in progress.")?,
            feed_revision: maker.gauges(
                "verbenahub_feed_revision",
                "Revision up to which a feed is held.",
                &["feed"],
            )?,
            feed_age: maker.gauges(
                "verbenahub_feed_confirmed_age_milliseconds",
                "Time since the newest confirmation of a feed.",
                &["feed"],
            )?,
            findings: maker.gauge("verbenahub_record_findings", "Findings on records.")?,
            ready: maker.gauge("verbenahub_ready", "Whether the node takes requests.")?,
            members: maker.gauges("verbenahub_members", "Members by state.", &["state"])?,
            pool_slots: maker.gauges(
                "verbenahub_pool_slots",
                "Calls of this node that the targets of a pool may run at once.",
                &["pool"],
            )?,
            pool_calls: maker.gauges(
                "verbenahub_pool_calls",
                "Calls of this node that hold a slot or wait for one.",
                &["pool", "state"],
            )?,
            tickets: maker.counter("verbenahub_tickets_total", "Tickets by event.", &["event"])?,
            registry,
        })
    }

    /// The metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(buffer)
    }
}

struct MetricMaker<'registry>(&'registry Registry);

impl MetricMaker<'_> {
    fn register<Metric>(&self, metric: Metric) -> Result<Metric, prometheus::Error>
    where
        Metric: Collector + Clone + 'static,
    {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.register(IntGauge::new(name, help)?)
    }

    fn histogram(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        self.register(HistogramVec::new(options, labels)?)
    }
}
