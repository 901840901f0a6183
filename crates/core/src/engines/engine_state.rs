use super::{PromptStep, engine_memory::EngineMemory};
use crate::{
    clock::ClockTime,
    policy::health::{CallOutcome, HealthRule, TargetHealth},
    targets::HEALTH_RULE as NODE_RULE,
};

/// When engines are left out. All nodes' requests count here, so that two
/// failures in a row are enough.
pub(super) const HEALTH_RULE: HealthRule = HealthRule {
    failure_limit: 2,
    ..NODE_RULE
};

/// What a book knows of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineState {
    /// Its run, if it tells.
    pub(super) started_at: Option<u64>,
    pub(super) memory: EngineMemory,
    /// Tokens of prompts that it has to read.
    pub(super) pending: u64,
    /// Requests that wait or run there.
    pub(super) requests: u32,
    health: TargetHealth,
    /// Whether it was left out and has read nothing since.
    is_doubted: bool,
    /// The one request that it was given since, and how long that is waited for.
    trial: Option<(String, ClockTime)>,
    /// Whether that was since it could not be reached.
    is_gone: bool,
}

impl EngineState {
    /// Creates the state of a run that has read nothing.
    pub(super) fn new(started_at: Option<u64>) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Whether it gets no requests: for a while, then but one until that is
    /// read. Engines that fail at once have nothing to read and would draw all
    /// prompts that they held.
    pub(super) fn is_left_out(&self, now: ClockTime) -> bool {
        let trial = self.trial.as_ref().filter(|(_, until)| *until > now);
        self.health.is_ejected(now) || (self.is_doubted && trial.is_some())
    }

    /// Whether it gets no requests since it could not be reached.
    pub(super) fn is_unreachable(&self, now: ClockTime) -> bool {
        self.is_gone && self.is_left_out(now)
    }

    /// Counts a request that it is given, with the tokens that it has to read
    /// for it. Until a time, that is its only one if it was left out before.
    pub(super) fn begin(&mut self, request: &str, tokens: u64, until: ClockTime) {
        self.pending += tokens;
        self.requests += 1;
        if self.is_doubted {
            self.trial = Some((request.to_owned(), until));
        }
    }

    /// Takes note of how far it has come with a request.
    pub(super) fn note(&mut self, request: &str, step: PromptStep, now: ClockTime) {
        self.trial.take_if(|(trial, _)| trial == request);
        let is_out = match step {
            PromptStep::Read => {
                self.is_doubted = false;
                self.is_gone = false;
                self.health.observe(CallOutcome::Answered, &HEALTH_RULE)
            }
            PromptStep::Ended => false,
            PromptStep::Failed => self.health.observe(CallOutcome::Failed, &HEALTH_RULE),
            PromptStep::Gone => {
                self.is_gone = true;
                !self.health.is_ejected(now)
            }
        };
        if is_out {
            self.health.eject(&HEALTH_RULE, now);
            self.is_doubted = true;
        }
    }
}
