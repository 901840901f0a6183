use std::collections::VecDeque;

use super::timings::{REACHABILITY_PROBES, REACHABILITY_WINDOW};
use crate::clock::ClockTime;

/// Sliding window over the outcomes of this node's most recent probes. Probes
/// visit all members in turn, so the success rate estimates the fraction of
/// members that are reachable.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeWindow {
    outcomes: VecDeque<(ClockTime, bool)>,
}

impl ProbeWindow {
    pub(super) fn record(&mut self, now: ClockTime, reached: bool) {
        if self.outcomes.len() == REACHABILITY_PROBES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, reached));
    }

    pub(super) fn clear(&mut self) {
        self.outcomes.clear();
    }

    /// Whether the most recent probe succeeded.
    pub(super) fn last_succeeded(&self) -> bool {
        self.outcomes.back().is_some_and(|outcome| outcome.1)
    }

    /// Whether this node, itself included, reaches at least half of `nodes`.
    /// `probed` is the number of other nodes that it probes; the remaining ones
    /// count as unreachable.
    pub(super) fn reaches_half(&self, now: ClockTime, nodes: usize, probed: usize) -> bool {
        if nodes <= 1 {
            return true;
        }
        let recent = |outcome: &&(ClockTime, bool)| now.since(outcome.0) <= REACHABILITY_WINDOW;
        let (mut reached, mut total) = (0, 0);
        for (_, success) in self.outcomes.iter().filter(recent) {
            reached += usize::from(*success);
            total += 1;
        }
        reached > 0 && 2 * (total + reached * probed) >= total * nodes
    }
}
