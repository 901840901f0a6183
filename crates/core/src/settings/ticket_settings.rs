use std::ops::RangeInclusive;

use super::node_limits::read_text;
use crate::{
    clock::TimeSpan,
    findings::{FindingLog, TableReader},
    ticket::TicketLimits,
    units::ByteSize,
};

const LIFETIME_RANGE: RangeInclusive<TimeSpan> = TimeSpan::from_secs(1)..=TimeSpan::from_secs(3600);
const ENTRIES_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const KEPT_RANGE: RangeInclusive<ByteSize> = ByteSize::from_kib(64)..=ByteSize::from_mib(4_096);
const ANSWER_RANGE: RangeInclusive<ByteSize> = ByteSize::from_bytes(1)..=ByteSize::from_mib(64);

/// Table `[tickets]`: limits on the tickets that make a request run at most once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TicketSettings {
    /// Limits on number, size and lifetime of the tickets of a node.
    pub limits: TicketLimits,
}

impl TicketSettings {
    /// Reads the table; errors are reported to `log`.
    pub(super) fn read(mut reader: TableReader<'_>, log: &FindingLog<'_>) -> Self {
        let mut limits = TicketLimits::default();
        let lifetime = &mut limits.lifetime;
        read_text(lifetime, "lifetime", LIFETIME_RANGE, &mut reader, log);
        if let Some(count) = reader.optional::<u32>("entries") {
            count.check_range(&ENTRIES_RANGE, log);
            limits.entries = count.value as usize;
        }
        let kept = &mut limits.kept_bytes;
        read_text(kept, "kept", KEPT_RANGE, &mut reader, log);
        let answer = &mut limits.answer_bytes;
        read_text(answer, "answer", ANSWER_RANGE, &mut reader, log);
        reader.finish();
        Self { limits }
    }
}
