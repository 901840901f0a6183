use std::collections::{HashMap, HashSet};

use verbenahub_core::{
    protocol::AnswerOutcome,
    ticket::{KeptAnswer, TicketKey, TicketRefusal},
};

/// Counts what the events caused, to check that the tests cover their cases.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationStats {
    pub effects: u32,
    pub repeats: u32,
    pub joins: u32,
    pub redirects: u32,
    pub handovers: u32,
    pub late_answers: u32,
    pub renewals: u32,
    pub not_run: u32,
}

impl SimulationStats {
    pub fn add(&mut self, other: &Self) {
        self.effects += other.effects;
        self.repeats += other.repeats;
        self.joins += other.joins;
        self.redirects += other.redirects;
        self.handovers += other.handovers;
        self.late_answers += other.late_answers;
        self.renewals += other.renewals;
        self.not_run += other.not_run;
    }
}

/// Records the side effects and answers of each ticket over all processes, and
/// asserts that they are consistent.
#[derive(Default)]
pub struct OutcomeChecker {
    effects: HashMap<TicketKey, u8>,
    answers: HashMap<TicketKey, (u8, KeptAnswer)>,
    not_run: HashSet<(TicketKey, u8)>,
    pub stats: SimulationStats,
}

impl OutcomeChecker {
    /// Records that a call of the non-idempotent stage reached its target.
    pub fn effect(&mut self, key: &TicketKey, body: u8) {
        let earlier = self.effects.insert(key.clone(), body);
        assert_eq!(earlier, None, "ticket {key} had two effects");
        let reported_not_run = self.not_run.contains(&(key.clone(), body));
        assert!(
            !reported_not_run,
            "ticket {key} ran after `not_run` was reported"
        );
        self.stats.effects += 1;
    }

    /// Removes an effect whose target reported that it did not run the call.
    pub fn withdraw_effect(&mut self, key: &TicketKey) {
        self.effects.remove(key);
        self.stats.effects -= 1;
        self.stats.renewals += 1;
    }

    /// Records the kept answer of a run.
    pub fn answer(&mut self, key: &TicketKey, body: u8, answer: KeptAnswer) {
        self.check_outcome(key, body, answer.outcome);
        let earlier = self.answers.insert(key.clone(), (body, answer));
        assert_eq!(earlier, None, "ticket {key} was answered twice");
    }

    /// Checks an answer that was returned to a repeated call.
    pub fn repeat(&mut self, key: &TicketKey, body: u8, answer: &KeptAnswer, received: bool) {
        let (first_body, first_answer) = &self.answers[key];
        assert_eq!(
            *first_body, body,
            "ticket {key} returned the answer of another body"
        );
        assert_eq!(first_answer, answer, "ticket {key} changed its answer");
        if received {
            self.check_outcome(key, body, answer.outcome);
        }
        self.stats.repeats += 1;
    }

    /// Checks a refusal. Returns whether the caller gets it as the answer.
    pub fn refuse(
        &mut self,
        key: &TicketKey,
        body: u8,
        refusal: TicketRefusal,
        received: bool,
    ) -> bool {
        if refusal == TicketRefusal::NotOwner {
            return false;
        }
        if received {
            self.check_outcome(key, body, refusal.outcome());
        }
        true
    }

    fn check_outcome(&mut self, key: &TicketKey, body: u8, outcome: AnswerOutcome) {
        if outcome == AnswerOutcome::NotRun {
            let ran = self.effects.get(key) == Some(&body);
            assert!(
                !ran,
                "`not_run` was reported for ticket {key}, which had run"
            );
            self.not_run.insert((key.clone(), body));
            self.stats.not_run += 1;
        }
    }
}
