use thiserror::Error;

use super::TicketKey;
use crate::{clock::ClockTime, ids::StageName};

/// Permission to send one non-idempotent call, once.
///
/// Only the ledger can create a permit, and a permit cannot be copied. A
/// connection that is refused before a byte was written leaves it unspent.
///
/// One permit allows one send:
///
/// ```
/// # use verbenahub_core::{clock::ClockTime, ticket::EffectPermit};
/// fn send_once(permit: EffectPermit, now: ClockTime) {
///     let first = permit.spend(now);
/// }
/// ```
///
/// A second one does not compile:
///
/// ```compile_fail,E0382
/// # use verbenahub_core::{clock::ClockTime, ticket::EffectPermit};
/// fn send_twice(permit: EffectPermit, now: ClockTime) {
///     let first = permit.spend(now);
///     let second = permit.spend(now);
/// }
/// ```
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct EffectPermit {
    pub(super) key: TicketKey,
    pub(super) stage: StageName,
    pub(super) not_after: ClockTime,
}

impl EffectPermit {
    /// The idempotency key by which the target can recognise a repeated call.
    #[must_use]
    pub fn idempotency_key(&self) -> String {
        format!("{}.{}", self.key, self.stage)
    }

    /// Spends the permit. Call this with a fresh clock reading, on an open
    /// connection, right before the first byte is written.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed or the ticket has expired, for example
    /// because the process was paused.
    pub fn spend(self, now: ClockTime) -> Result<SpentPermit, EffectRefusal> {
        if now > self.not_after {
            return Err(EffectRefusal::TooLate);
        }
        Ok(SpentPermit {
            key: self.key,
            stage: self.stage,
            not_after: self.not_after,
        })
    }
}

/// A permit that was spent: sending its call has begun.
#[derive(Debug, PartialEq, Eq)]
pub struct SpentPermit {
    pub(super) key: TicketKey,
    pub(super) stage: StageName,
    pub(super) not_after: ClockTime,
}

impl SpentPermit {
    /// The stage whose call is being sent.
    #[must_use]
    pub const fn stage(&self) -> &StageName {
        &self.stage
    }
}

/// Why a non-idempotent call must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EffectRefusal {
    /// The deadline has passed or the ticket has expired.
    #[error("the deadline has passed or the ticket has expired")]
    TooLate,
    /// A permit for this stage was already issued.
    #[error("a permit for the stage was already issued")]
    AlreadyIssued,
    /// The ticket is not running.
    #[error("the ticket is not running")]
    NotRunning,
}
