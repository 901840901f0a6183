use crate::{clock::TimeSpan, units::ByteSize};

/// Maximum size of a record.
pub const MAX_RECORD_SIZE: ByteSize = ByteSize::from_kib(64);
/// Maximum deadline of a pipeline and timeout of a stage.
pub const MAX_DEADLINE: TimeSpan = TimeSpan::from_secs(600);
/// Maximum body limit and answer limit that a record may set.
pub const MAX_MESSAGE_SIZE: ByteSize = ByteSize::from_mib(64);
/// Maximum limit of requests in flight per node that a record may set.
pub const MAX_IN_FLIGHT: u32 = 100_000;
/// Maximum number of tokens of one answer.
pub const MAX_TOKENS: u64 = 1_000_000;
/// Minimum number of stages of a pipeline.
pub const MIN_STAGES: usize = 3;
/// Maximum number of stages of a pipeline.
pub const MAX_STAGES: usize = 6;
/// Maximum size of a request body when a record sets no limit.
pub(super) const DEFAULT_BODY_LIMIT: ByteSize = ByteSize::from_mib(4);
/// Maximum size of an answer when a record sets no limit.
pub(super) const DEFAULT_ANSWER_LIMIT: ByteSize = ByteSize::from_mib(4);
/// Maximum number of requests in flight per node when a record sets no limit.
pub(super) const DEFAULT_IN_FLIGHT_LIMIT: u32 = 1_024;
/// Maximum weight of a workspace.
pub(super) const MAX_WEIGHT: u32 = 1_000;
/// Maximum burst of a workspace, in requests.
pub(super) const MAX_BURST: u32 = 1_000_000;
/// Maximum number of replicas of a model.
pub(super) const MAX_REPLICAS: u32 = 100_000;
/// Maximum number of adapters of a model.
pub(super) const MAX_ADAPTERS: usize = 256;
/// Maximum length of the version or adapter name of a model, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 96;
