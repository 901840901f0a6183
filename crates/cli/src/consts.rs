//! Limits and defaults of the tool.

use std::time::Duration;

use verbenahub_core::units::ByteSize;

/// Name of the program.
pub const TOOL_NAME: &str = "verbenahub";
/// Environment variable that holds the secret of a workspace.
pub const SECRET_VARIABLE: &str = "VERBENAHUB_SECRET";
/// Largest settings or mix file.
pub const FILE_LIMIT: ByteSize = ByteSize::from_mib(1);
/// Largest body that the tool sends.
pub const BODY_LIMIT: ByteSize = ByteSize::from_mib(64);
/// Largest answer that the tool takes.
pub const ANSWER_LIMIT: ByteSize = ByteSize::from_mib(64);
/// Largest status or metrics page that the tool takes.
pub const PAGE_LIMIT: ByteSize = ByteSize::from_mib(32);
/// Longest line of a streamed answer.
pub const LINE_LIMIT: ByteSize = ByteSize::from_mib(1);
/// Longest wait for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections are not used again after this time; nodes close them after 30 s.
pub const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for one answer of a node to `status`.
pub const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks of `status --wait`.
pub const STATUS_POLL: Duration = Duration::from_millis(100);
/// Most requests of a load that are in flight at once.
pub const IN_FLIGHT_MOST: usize = 100_000;
/// Most worker threads of a load.
pub const THREADS_MOST: usize = 64;
/// Highest rate of a load, in requests per second.
pub const RATE_MOST: f64 = 1_000_000.0;
