//! Names of HTTP headers.

/// Request id. Set by the caller or by the first node.
pub const REQUEST_ID: &str = "verbenahub-request";
/// Remaining time until the deadline of the request, in milliseconds.
pub const DEADLINE_MS: &str = "verbenahub-deadline-ms";
/// Idempotency key: requests with the same key run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Name of the stage that the target runs.
pub const STAGE: &str = "verbenahub-stage";
/// Number of the attempt at the stage.
pub const ATTEMPT: &str = "verbenahub-attempt";
/// Workspace on whose behalf the target runs the stage.
pub const WORKSPACE: &str = "verbenahub-workspace";
/// Priority of the call, from 0 to 9; higher is more urgent.
pub const PRIORITY: &str = "verbenahub-priority";
/// Model that the engine must use.
pub const MODEL: &str = "verbenahub-model";
/// Adapter that the engine must use with the model.
pub const ADAPTER: &str = "verbenahub-adapter";
/// Maximum number of tokens that the engine may generate.
pub const MAX_TOKENS: &str = "verbenahub-max-tokens";
/// Number of tokens of a broken stream that the node has already received.
pub const RESUME_OFFSET: &str = "verbenahub-resume-offset";
/// Length of the prompt in bytes, if the body also contains already received
/// text after the prompt.
pub const PROMPT_BYTES: &str = "verbenahub-prompt-bytes";
/// Load report of a target, sent with each response.
pub const LOAD: &str = "verbenahub-load";
/// Time to wait before a retry, in milliseconds. Sent together with
/// `retry-after`.
pub const RETRY_AFTER_MS: &str = "verbenahub-retry-after-ms";
/// Time to wait before a retry, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Cluster secret, sent on calls between nodes.
pub const CLUSTER_SECRET: &str = "verbenahub-cluster-secret";
/// Marks a call that another node forwarded; holds the id of that node.
pub const FORWARDED_BY: &str = "verbenahub-forwarded-by";
/// Credentials of a workspace: `Bearer <workspace id>:<secret>`.
pub const AUTHORIZATION: &str = "authorization";
