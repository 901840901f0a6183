use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder, core::Collector,
};

/// Upper bounds of the latency buckets, in seconds. They range from the
/// duration of a plain call to the longest deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 13] = [
    0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.5, 4.0, 8.0, 16.0,
];
/// Upper bounds of the buckets for the number of pieces in a stage call.
const PIECE_BUCKETS: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// Upper bounds of the buckets for the delay of tasks, in seconds.
const DELAY_BUCKETS_SECONDS: [f64; 8] = [0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1.0, 4.0];

/// The metrics of the process.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Finished requests, by kind of route and outcome.
    pub requests: IntCounterVec,
    /// Seconds from a request's first byte to the end of its response, by kind
    /// of route.
    pub request_seconds: HistogramVec,
    /// Seconds from a request's first byte to the first event of its response
    /// stream, by kind of route.
    pub first_event_seconds: HistogramVec,
    /// Attempts at targets, by service and result.
    pub attempts: IntCounterVec,
    /// Answers that broke off, by service and how far the target had come.
    pub broken_answers: IntCounterVec,
    /// Requests sent to targets that had named a limit, by service and purpose of the
    /// request.
    pub limited_sends: IntCounterVec,
    /// Decisions on permits for limited targets, by service and outcome.
    pub permits: IntCounterVec,
    /// Zones that the operator has evacuated.
    pub evacuated_zones: IntGauge,
    /// Targets that are cold by what this node knows.
    pub cold_targets: IntGauge,
    /// Targets that have named a limit.
    pub limited_targets: IntGauge,
    /// Parts of prompts that are quarantined at this node.
    pub quarantined_parts: IntGauge,
    /// Connections opened to targets.
    pub target_connections: IntCounter,
    /// Bytes of response bodies received from targets, by service.
    pub target_body_bytes: IntCounterVec,
    /// Seconds by which tasks that were due ran late.
    pub executor_delay_seconds: Histogram,
    /// Seconds from the offer of a set of pieces to its results, by service.
    pub stage_seconds: HistogramVec,
    /// Pieces per call to a stage target, by service.
    pub call_pieces: HistogramVec,
    /// Calls to stage targets, by service and result.
    pub stage_calls: IntCounterVec,
    /// Calls to the platform's store, by result.
    pub store_calls: IntCounterVec,
    /// Calls to other gateways, by purpose and result.
    pub peer_calls: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Store era of the target registry: the number of times that the store was
    /// restored from a backup.
    pub store_era: IntGauge,
    /// Registered targets.
    pub targets: IntGauge,
    /// Targets that stay in use although their records are missing from the store,
    /// since they may be written again.
    pub missing_targets: IntGauge,
    /// Gateways that are considered alive, including this one.
    pub members: IntGauge,
    /// 1 if the node is ready for new connections, else 0.
    pub ready: IntGauge,
    /// Log lines that were dropped since the start.
    pub dropped_lines: IntGauge,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid or two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let group = &registry;
        Ok(Self {
            requests: counters(group, "requests", "Requests", &["kind", "outcome"])?,
            request_seconds: latencies(
                group,
                "request_seconds",
                "Time to the end of answers",
                "kind",
            )?,
            first_event_seconds: latencies(
                group,
                "first_event_seconds",
                "Time to the first event of streams",
                "kind",
            )?,
            attempts: counters(
                group,
                "attempts",
                "Attempts at targets",
                &["service", "end"],
            )?,
            broken_answers: counters(
                group,
                "broken_answers",
                "Answers that broke off",
                &["service", "phase"],
            )?,
            limited_sends: counters(
                group,
                "limited_sends",
                "Requests sent to targets that had named a limit",
                &["service", "purpose"],
            )?,
            permits: counters(
                group,
                "permits",
                "Decisions on permits for limited targets",
                &["service", "outcome"],
            )?,
            evacuated_zones: gauge(
                group,
                "evacuated_zones",
                "Zones that the operator has evacuated",
            )?,
            cold_targets: gauge(group, "cold_targets", "Targets that are cold")?,
            limited_targets: gauge(group, "limited_targets", "Targets that have named a limit")?,
            quarantined_parts: gauge(
                group,
                "quarantined_parts",
                "Parts of prompts that are quarantined",
            )?,
            target_connections: counter(
                group,
                "target_connections",
                "Connections opened to targets",
            )?,
            target_body_bytes: counters(
                group,
                "target_body_bytes",
                "Bytes from targets",
                &["service"],
            )?,
            executor_delay_seconds: delays(group, "executor_delay_seconds", "Delay of tasks")?,
            stage_seconds: latencies(group, "stage_seconds", "Time of sets", "service")?,
            call_pieces: histograms(
                group,
                "call_pieces",
                "Pieces of calls to stages",
                "service",
                PIECE_BUCKETS.to_vec(),
            )?,
            stage_calls: counters(group, "stage_calls", "Calls to stages", &["service", "end"])?,
            store_calls: counters(group, "store_calls", "Calls to the store", &["end"])?,
            peer_calls: counters(
                group,
                "peer_calls",
                "Calls to gateways",
                &["purpose", "end"],
            )?,
            in_flight: gauge(group, "requests_in_flight", "Requests in progress")?,
            config_version: gauge(group, "config_version", "Version in force")?,
            store_era: gauge(
                group,
                "store_era",
                "Times that the store came back from a copy",
            )?,
            targets: gauge(group, "targets", "Registered targets")?,
            missing_targets: gauge(
                group,
                "missing_targets",
                "Targets in use whose records are missing",
            )?,
            members: gauge(group, "members", "Gateways that seem to live")?,
            ready: gauge(group, "ready", "Whether the node takes new connections")?,
            dropped_lines: gauge(group, "dropped_log_lines", "Log lines that were dropped")?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn register<Metric>(registry: &Registry, metric: Metric) -> Result<Metric, prometheus::Error>
where
    Metric: Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn metric_name(name: &str) -> String {
    format!("verbenahub_gateway_{name}")
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    register(registry, IntCounter::new(metric_name(name), help)?)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    register(
        registry,
        IntCounterVec::new(Opts::new(metric_name(name), help), labels)?,
    )
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    register(registry, IntGauge::new(metric_name(name), help)?)
}

fn latencies(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<HistogramVec, prometheus::Error> {
    histograms(
        registry,
        name,
        help,
        label,
        LATENCY_BUCKETS_SECONDS.to_vec(),
    )
}

fn delays(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new(metric_name(name), help);
    let options = options.buckets(DELAY_BUCKETS_SECONDS.to_vec());
    register(registry, Histogram::with_opts(options)?)
}

fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    buckets: Vec<f64>,
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(metric_name(name), help).buckets(buckets);
    register(registry, HistogramVec::new(options, &[label])?)
}
