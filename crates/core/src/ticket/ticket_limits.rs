use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, units::ByteSize};

/// Limits of a ticket ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketLimits {
    /// Time from the issue of a ticket to its expiry. Its answer is kept until
    /// then.
    pub lifetime: TimeSpan,
    /// Maximum number of tickets held, including adopted ones.
    pub entries: usize,
    /// Memory for the kept answers and for the reservations of running tickets.
    pub kept_bytes: ByteSize,
    /// Maximum size of a kept answer. Reserved for each running ticket.
    pub answer_bytes: ByteSize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            lifetime: TimeSpan::from_secs(60),
            entries: 20_000,
            kept_bytes: ByteSize::from_mib(24),
            answer_bytes: ByteSize::from_kib(32),
        }
    }
}
