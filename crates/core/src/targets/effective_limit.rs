use super::{PermitPace, RequestLimit};
use crate::clock::TimeSpan;

/// Part of the limit of a cold target that its owner grants while the previous owner
/// may still grant all of it. With all of it, both together sent 32 requests in a
/// second at a limit of 15, where 27.5 are tolerated.
const TAKEOVER_SHARE: f64 = 0.25;

/// The limit on requests to a target that is in force, from all of its reasons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveLimit {
    /// The lowest limit.
    pub limit: RequestLimit,
    /// Time since the target named a limit, if it did.
    pub named_age: Option<TimeSpan>,
    /// Time until the target is warm, zero if it is now.
    pub cold_left: TimeSpan,
}

impl EffectiveLimit {
    /// Combines the limit that a target has named, with the time since then, and the
    /// limit that holds for the time for which it stays cold.
    #[must_use]
    pub fn combine(
        named: Option<(RequestLimit, TimeSpan)>,
        cold: Option<(RequestLimit, TimeSpan)>,
    ) -> Option<Self> {
        let limits = named.map(|(limit, _)| limit);
        let limits = limits.into_iter().chain(cold.map(|(limit, _)| limit));
        Some(Self {
            limit: limits.reduce(RequestLimit::min)?,
            named_age: named.map(|(_, age)| age),
            cold_left: cold.map_or(TimeSpan::ZERO, |(_, left)| left),
        })
    }

    /// Pace of the owner of the target, which may grant `share` of the limit. Less
    /// if the target is cold and the owner has taken over from another node.
    #[must_use]
    pub fn owner_pace(self, share: f64, has_taken_over: bool) -> PermitPace {
        if self.cold_left.is_zero() {
            return self.limit.pace(share).into();
        }
        let part = if has_taken_over { TAKEOVER_SHARE } else { 1.0 };
        PermitPace::cold(self.limit.pace(share * part))
    }

    /// Pace of a node that uses its `share` of the limit, since the owner does not
    /// answer. `phase` is a random number from 0 to 1.
    #[must_use]
    pub fn share_pace(self, share: f64, phase: f64) -> PermitPace {
        let rate = self.limit.pace(share);
        if self.cold_left.is_zero() {
            rate.into()
        } else {
            PermitPace::cold_share(rate, phase)
        }
    }

    /// Time after which a sender that was denied should ask again: not after the
    /// target is warm, if nothing but its coldness limits the requests.
    #[must_use]
    pub fn retry_after(self, denied: TimeSpan) -> TimeSpan {
        if self.named_age.is_none() {
            denied.min(self.cold_left)
        } else {
            denied
        }
    }
}
