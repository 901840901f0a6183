use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
};

/// Upper bounds of the latency buckets, in seconds: from a plain call to the
/// longest deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 13] = [
    0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.5, 4.0, 8.0, 16.0,
];
/// Upper bounds of the buckets for pieces in a call.
const PIECE_BUCKETS: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// The metrics of the process.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by kind of route and outcome.
    pub requests: IntCounterVec,
    /// Time from a request's first byte to the end of its answer, by kind.
    pub request_seconds: HistogramVec,
    /// Time from a request's first byte to its answer's first event.
    pub first_event_seconds: HistogramVec,
    /// Attempts at targets by service and end.
    pub attempts: IntCounterVec,
    /// Connections opened to targets.
    pub target_connections: IntCounter,
    /// Time that a set of pieces took from its offer to its results.
    pub stage_seconds: HistogramVec,
    /// Pieces of a call to a stage's target.
    pub call_pieces: HistogramVec,
    /// Calls to stages' targets by service and end.
    pub stage_calls: IntCounterVec,
    /// Calls to the platform's store by prefix and end.
    pub store_calls: IntCounterVec,
    /// Calls to other gateways by purpose and end.
    pub peer_calls: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Era of the store whose targets are held.
    pub store_era: IntGauge,
    /// Registered targets.
    pub targets: IntGauge,
    /// Gateways that seem to live, this one included.
    pub members: IntGauge,
    /// Whether the node takes new connections.
    pub ready: IntGauge,
    /// Log lines that were dropped.
    pub dropped_lines: IntGauge,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let all = &registry;
        Ok(Self {
            requests: counters(all, "requests", "Requests", &["kind", "outcome"])?,
            request_seconds: latencies(
                all,
                "request_seconds",
                "Time to the end of answers",
                "kind",
            )?,
            first_event_seconds: latencies(
                all,
                "first_event_seconds",
                "Time to the first event of streams",
                "kind",
            )?,
            attempts: counters(all, "attempts", "Attempts at targets", &["service", "end"])?,
            target_connections: add(
                all,
                IntCounter::new(
                    "verbenahub_gateway_target_connections",
                    "Connections opened to targets",
                )?,
            )?,
            stage_seconds: latencies(all, "stage_seconds", "Time of sets of pieces", "service")?,
            call_pieces: histograms(
                all,
                "call_pieces",
                "Pieces of calls to stages",
                "service",
                PIECE_BUCKETS.to_vec(),
            )?,
            stage_calls: counters(all, "stage_calls", "Calls to stages", &["service", "end"])?,
            store_calls: counters(all, "store_calls", "Calls to the store", &["end"])?,
            peer_calls: counters(all, "peer_calls", "Calls to gateways", &["purpose", "end"])?,
            in_flight: gauge(all, "requests_in_flight", "Requests in progress")?,
            config_version: gauge(all, "config_version", "Version in force")?,
            store_era: gauge(
                all,
                "store_era",
                "Times that the store came back from a copy",
            )?,
            targets: gauge(all, "targets", "Registered targets")?,
            members: gauge(all, "members", "Gateways that seem to live")?,
            ready: gauge(all, "ready", "Whether the node takes new connections")?,
            dropped_lines: gauge(all, "dropped_log_lines", "Log lines that were dropped")?,
            registry,
        })
    }

    /// All metrics in the text format.
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

fn add<Metric>(registry: &Registry, metric: Metric) -> Result<Metric, prometheus::Error>
where
    Metric: Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn full_name(name: &str) -> String {
    format!("verbenahub_gateway_{name}")
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    add(
        registry,
        IntCounterVec::new(Opts::new(full_name(name), help), labels)?,
    )
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    add(registry, IntGauge::new(full_name(name), help)?)
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

fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    buckets: Vec<f64>,
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(full_name(name), help).buckets(buckets);
    add(registry, HistogramVec::new(options, &[label])?)
}
