use std::{fmt::Display, ops::RangeInclusive, str::FromStr};

use crate::{
    clock::TimeSpan,
    findings::{FindingLog, TableReader},
    units::ByteSize,
};

const HEADER_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(1)..=ByteSize::from_mib(1);
const SIZE_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(1)..=ByteSize::from_mib(64);
const COUNT_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const TIMEOUT_RANGE: RangeInclusive<TimeSpan> =
    TimeSpan::from_millis(10)..=TimeSpan::from_secs(600);
const SHUTDOWN_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_secs(1)..=TimeSpan::from_secs(3600);

/// Table `[limits]`: limits on requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLimits {
    /// Maximum size of a request head.
    pub header: ByteSize,
    /// Maximum size of a request body; records can only lower it.
    pub body: ByteSize,
    /// Maximum size of a response; records can only lower it.
    pub answer: ByteSize,
    /// Maximum number of open connections from callers.
    pub connections: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Maximum time from the first to the last byte of a request head.
    pub header_timeout: TimeSpan,
    /// Maximum time to receive a request body.
    pub body_timeout: TimeSpan,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: TimeSpan,
    /// Maximum time of a graceful shutdown, after which the process exits anyway.
    pub shutdown: TimeSpan,
}

impl Default for NodeLimits {
    fn default() -> Self {
        Self {
            header: ByteSize::from_kib(16),
            body: ByteSize::from_mib(8),
            answer: ByteSize::from_mib(8),
            connections: 4_096,
            queue: 4_096,
            header_timeout: TimeSpan::from_secs(5),
            body_timeout: TimeSpan::from_secs(30),
            idle_timeout: TimeSpan::from_secs(30),
            shutdown: TimeSpan::from_secs(60),
        }
    }
}

impl NodeLimits {
    /// Reads the table; errors are reported to `log`.
    pub(super) fn read(mut reader: TableReader<'_>, log: &FindingLog<'_>) -> Self {
        let mut limits = Self::default();
        read_text(&mut limits.header, "header", HEADER_RANGE, &mut reader, log);
        read_text(&mut limits.body, "body", SIZE_RANGE, &mut reader, log);
        read_text(&mut limits.answer, "answer", SIZE_RANGE, &mut reader, log);
        read_count(&mut limits.connections, "connections", &mut reader, log);
        read_count(&mut limits.queue, "queue", &mut reader, log);
        limits.read_times(&mut reader, log);
        reader.finish();
        limits
    }

    fn read_times(&mut self, reader: &mut TableReader<'_>, log: &FindingLog<'_>) {
        let mut read_timeout = |field, key| read_text(field, key, TIMEOUT_RANGE, &mut *reader, log);
        read_timeout(&mut self.header_timeout, "header_timeout");
        read_timeout(&mut self.body_timeout, "body_timeout");
        read_timeout(&mut self.idle_timeout, "idle_timeout");
        read_text(&mut self.shutdown, "shutdown", SHUTDOWN_RANGE, reader, log);
    }
}

/// Reads an optional field that is parsed from a string, such as `250 ms`, and
/// checks its range. Leaves `field` unchanged if it is missing.
pub(super) fn read_text<T>(
    field: &mut T,
    key: &'static str,
    range: RangeInclusive<T>,
    reader: &mut TableReader<'_>,
    log: &FindingLog<'_>,
) where
    T: FromStr + PartialOrd + Display,
    T::Err: Display,
{
    if let Some(found) = reader.optional_text::<T>(key) {
        found.check_range(&range, log);
        *field = found.value;
    }
}

fn read_count(
    field: &mut u32,
    key: &'static str,
    reader: &mut TableReader<'_>,
    log: &FindingLog<'_>,
) {
    if let Some(found) = reader.optional(key) {
        found.check_range(&COUNT_RANGE, log);
        *field = found.value;
    }
}
