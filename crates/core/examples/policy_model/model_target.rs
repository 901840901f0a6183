use std::collections::VecDeque;

use verbenahub_core::{clock::TimeSpan, protocol::LoadReport};

/// Maximum number of conversations in the prefix cache of an engine.
const CACHE_CAPACITY: usize = 60;
/// Weight of one call in the reported service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// A call that is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelCall {
    /// Index of the request.
    pub request_index: usize,
    /// Run time without the prompt, in milliseconds.
    pub work_ms: u64,
    /// Time for the prompt if it is not cached, in milliseconds.
    pub prompt_ms: u64,
    pub conversation: Option<usize>,
}

/// A target with a limited number of slots and a FIFO queue.
#[derive(Debug)]
pub struct ModelTarget {
    capacity: usize,
    /// Factor on the run time of each call.
    slow_factor: f64,
    running: Vec<usize>,
    queue: VecDeque<ModelCall>,
    /// Conversations with a cached prompt, least recently used first.
    cache: VecDeque<usize>,
    /// Moving average of the service time, in milliseconds.
    service_ms: f64,
    /// Times in milliseconds and load reports, oldest first.
    reports: VecDeque<(u64, LoadReport)>,
    /// Time for which slots were in use, in milliseconds.
    pub busy_ms: f64,
}

/// A call that starts to run.
pub struct StartedCall {
    pub request_index: usize,
    /// Run time in milliseconds.
    pub run_ms: u64,
}

impl ModelTarget {
    pub fn new(capacity: usize, slow_factor: f64) -> Self {
        Self {
            capacity,
            slow_factor,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            service_ms: 0.0,
            reports: VecDeque::new(),
            busy_ms: 0.0,
        }
    }

    /// Adds a call to the queue.
    pub fn push(&mut self, call: ModelCall) {
        self.queue.push_back(call);
    }

    /// Starts the next call if there is a free slot.
    pub fn start(&mut self) -> Option<StartedCall> {
        if self.running.len() >= self.capacity {
            return None;
        }
        let call = self.queue.pop_front()?;
        let cached = call
            .conversation
            .is_some_and(|conversation| self.touch(conversation));
        let prompt_ms = if cached { 0 } else { call.prompt_ms };
        let run_ms = scale(call.work_ms + prompt_ms, self.slow_factor);
        self.running.push(call.request_index);
        Some(StartedCall {
            request_index: call.request_index,
            run_ms,
        })
    }

    /// Ends a call that ran for `took` milliseconds. Returns false if the call was
    /// cancelled before.
    pub fn end(&mut self, request_index: usize, took: u64) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != request_index);
        let ended = self.running.len() < before;
        if ended {
            let took = as_f64(took);
            self.busy_ms += took;
            let weight = if self.service_ms > 0.0 {
                SERVICE_WEIGHT
            } else {
                1.0
            };
            self.service_ms += weight * (took - self.service_ms);
        }
        ended
    }

    /// Cancels a queued call, or a running one that has run for `ran` milliseconds.
    pub fn cancel(&mut self, request_index: usize, ran: u64) {
        self.queue
            .retain(|call| call.request_index != request_index);
        let before = self.running.len();
        self.running.retain(|running| *running != request_index);
        if self.running.len() < before {
            self.busy_ms += as_f64(ran);
        }
    }

    /// Marks a conversation as most recently used. Returns whether it was cached.
    fn touch(&mut self, conversation: usize) -> bool {
        let cached_at = self.cache.iter().position(|cached| *cached == conversation);
        if let Some(index) = cached_at {
            self.cache.remove(index);
        }
        self.cache.push_back(conversation);
        if self.cache.len() > CACHE_CAPACITY {
            self.cache.pop_front();
        }
        cached_at.is_some()
    }

    /// Returns the load report as it was `lag` milliseconds before `now`; without
    /// load if there is none that old.
    pub fn report(&mut self, now: u64, lag: u64) -> LoadReport {
        let current = self.current_report();
        if lag == 0 {
            return current;
        }
        self.reports.push_back((now, current));
        while self.reports.len() > 1 && self.reports[1].0 + lag <= now {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((time, report)) if time + lag <= now => *report,
            _ => LoadReport {
                running: 0,
                queued: 0,
                ..current
            },
        }
    }

    fn current_report(&self) -> LoadReport {
        LoadReport {
            running: count(self.running.len()),
            queued: count(self.queue.len()),
            capacity: count(self.capacity),
            service_time: TimeSpan::from_millis(scale(1, self.service_ms)),
            leaving: false,
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// Converts milliseconds or a count to a floating point number.
pub fn as_f64(millis: u64) -> f64 {
    TimeSpan::from_millis(millis).as_secs_f64() * 1_000.0
}

/// Multiplies milliseconds by a factor, rounded.
// Times in the model are small and not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn scale(millis: u64, factor: f64) -> u64 {
    (as_f64(millis) * factor).round() as u64
}
