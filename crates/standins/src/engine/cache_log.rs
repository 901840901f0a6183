use std::collections::VecDeque;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    protocol::{CacheChange, CacheEvent, CachePage},
};

/// Events that are kept at most.
const EVENT_LIMIT: usize = 16_384;
/// Events on one page at most.
const PAGE_LIMIT: usize = 1_024;

/// Cache events, shown late and with gaps.
#[derive(Debug)]
pub struct CacheLog {
    lag: TimeSpan,
    gap_share: f64,
    random: fastrand::Rng,
    sequence: u64,
    events: VecDeque<(ClockTime, CacheEvent)>,
}

impl CacheLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(lag: TimeSpan, gap_share: f64, seed: u64) -> Self {
        Self {
            lag,
            gap_share,
            random: fastrand::Rng::with_seed(seed),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event, or loses it.
    pub fn push(&mut self, now: ClockTime, prefix: u64, change: CacheChange) {
        self.sequence += 1;
        if self.random.f64() < self.gap_share {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            change,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// The events after a sequence number that can be seen by now.
    #[must_use]
    pub fn page(&self, now: ClockTime, after: u64) -> CachePage {
        let seen = self
            .events
            .iter()
            .take_while(|(time, _)| *time + self.lag <= now);
        let events: Vec<CacheEvent> = seen
            .map(|(_, event)| *event)
            .filter(|event| event.sequence > after)
            .take(PAGE_LIMIT)
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CachePage { events, next }
    }
}
