//! Paths of the HTTP interfaces, each with the party that serves or calls it.

/// Callers: `POST /v1/pipelines/{pipeline}`.
pub const PIPELINES: &str = "/v1/pipelines/";
/// Callers: `POST /v1/tickets/{ticket}` runs a request at most once.
pub const TICKETS: &str = "/v1/tickets/";
/// Operators: `GET` returns the status of one node.
pub const STATUS: &str = "/v1/status";
/// Load balancer of the platform: liveness check.
pub const HEALTH: &str = "/healthz";
/// Load balancer of the platform: readiness check; the node accepts requests.
pub const READY: &str = "/readyz";
/// Metrics in the Prometheus text format.
pub const METRICS: &str = "/metrics";
/// Targets: run a stage.
pub const RUN: &str = "/v1/run";
/// Targets: cancel an attempt.
pub const CANCEL: &str = "/v1/cancel";
/// Targets: current load report.
pub const LOAD: &str = "/v1/load";
/// Engines: cache events after a sequence number.
pub const CACHE_EVENTS: &str = "/v1/cache-events";
/// Engines: orders to load or unload models or to change the role.
pub const ORDERS: &str = "/v1/orders";
/// Engines: loaded models and adapters.
pub const ENGINE_STATE: &str = "/v1/state";
/// Plain services: outcome of a call by its idempotency key.
pub const OUTCOMES: &str = "/v1/outcomes/";
/// Platform: changes of a feed since a revision.
pub const CHANGES: &str = "/v1/changes";
