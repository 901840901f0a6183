use super::{
    PromptStep, mean_pace::MeanPace, prefix_cache_estimate::PrefixCacheEstimate,
    reading_pace::ReadingPace,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::{
        health::{CallOutcome, HealthRule, TargetHealth},
        numbers,
    },
    targets::HEALTH_RULE as TARGET_HEALTH_RULE,
};

/// When engines are ejected. The requests of all nodes count here, so two
/// failures in a row are enough.
pub(super) const HEALTH_RULE: HealthRule = HealthRule {
    failure_limit: 2,
    ..TARGET_HEALTH_RULE
};

/// Time without a request after which an engine should get one whose shared parts
/// it has cached.
const CHEAP_SAMPLE_INTERVAL: TimeSpan = TimeSpan::from_millis(3_000);
/// Time without a request after which an engine should get any, so that each gets
/// one within five seconds, the shortest deadlines of callers. Each such prompt may be
/// read slowly, and is then cached by one more engine.
const SAMPLE_INTERVAL: TimeSpan = TimeSpan::from_millis(4_500);

/// What the scheduler knows about one engine.
#[derive(Debug, Default)]
pub(super) struct EngineState {
    /// Start time of the engine process, if it is known.
    pub(super) started_at: Option<u64>,
    pub(super) prefix_cache: PrefixCacheEstimate,
    /// Tokens that the engine has yet to prefill.
    pub(super) pending_tokens: u64,
    /// Requests that wait or run at the engine.
    pub(super) request_count: u32,
    pub(super) pace: ReadingPace,
    /// When the last prefill was reported as complete.
    last_read_at: Option<ClockTime>,
    /// When the last request was assigned.
    pub(super) assigned_at: ClockTime,
    health: TargetHealth,
    /// Whether the engine has completed no prefill since its last ejection.
    is_on_probation: bool,
    /// The only request assigned during probation, and until when its outcome is
    /// awaited.
    probe: Option<(String, ClockTime)>,
    /// Whether the engine has completed no prefill since it could not be reached.
    has_lost_contact: bool,
}

impl EngineState {
    /// Creates the state of an engine process that has received no prompts.
    pub(super) fn new(started_at: Option<u64>) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Whether the engine gets no requests. After an ejection it gets none for a
    /// while, then one at a time until a prefill completes. Otherwise an engine
    /// that fails at once would have nothing pending and attract all prompts
    /// whose prefixes it has cached.
    pub(super) fn is_ejected(&self, now: ClockTime) -> bool {
        let probe = self.probe.as_ref().filter(|(_, until)| *until > now);
        self.health.is_ejected(now) || (self.is_on_probation && probe.is_some())
    }

    /// Whether the engine gets no requests because it could not be reached.
    pub(super) fn is_unreachable(&self, now: ClockTime) -> bool {
        self.has_lost_contact && self.is_ejected(now)
    }

    /// Whether the engine has had no request for so long that a recovery would go
    /// unnoticed, and should get one with `uncached` shared tokens to read.
    pub(super) fn needs_sample(&self, uncached: u64, now: ClockTime) -> bool {
        let interval = if uncached == 0 {
            CHEAP_SAMPLE_INTERVAL
        } else {
            SAMPLE_INTERVAL
        };
        now.since(self.assigned_at) >= interval
    }

    /// Counts a request assigned to the engine, with the tokens to prefill for
    /// it. An engine on probation gets no other request until `until`.
    pub(super) fn assign(&mut self, request: &str, tokens: u64, until: ClockTime) {
        self.pending_tokens += tokens;
        self.request_count += 1;
        if self.is_on_probation {
            self.probe = Some((request.to_owned(), until));
        }
    }

    /// Records how long the engine took to read the prompt of a request.
    ///
    /// Engines read prompts one after the other: the time since the previous
    /// prompt was complete, or since the request was sent if that was later, went
    /// to the request's own tokens. An engine that reads several prompts in turn
    /// has too long a time for the first and too short a one for the others, but
    /// the sums are right.
    pub(super) fn record_read(
        &mut self,
        tokens: u64,
        first_event_after: Option<TimeSpan>,
        mean: &mut MeanPace,
        now: ClockTime,
    ) {
        let previous = self.last_read_at.replace(now);
        let Some(first_event_after) = first_event_after else {
            return;
        };
        let alone = MeanPace::reading_millis(numbers::millis(first_event_after));
        let since_previous = previous.map(|previous| numbers::millis(now.since(previous)));
        let taken = since_previous.map_or(alone, |since| since.min(alone));
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        mean.observe(taken, tokens);
        self.pace.observe(taken, mean.expected_millis(tokens), now);
    }

    /// Records how far the engine has come with a request.
    pub(super) fn record_progress(&mut self, request: &str, step: PromptStep, now: ClockTime) {
        self.probe.take_if(|(probe, _)| probe == request);
        let must_eject = match step {
            PromptStep::Read => {
                self.is_on_probation = false;
                self.has_lost_contact = false;
                self.health.observe(CallOutcome::Answered, &HEALTH_RULE)
            }
            PromptStep::Ended => false,
            PromptStep::Failed => self.health.observe(CallOutcome::Failed, &HEALTH_RULE),
            PromptStep::Gone => {
                self.has_lost_contact = true;
                !self.health.is_ejected(now)
            }
        };
        if must_eject {
            self.health.eject(&HEALTH_RULE, now);
            self.is_on_probation = true;
        }
    }
}
