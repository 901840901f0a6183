use std::collections::VecDeque;

use super::{DeclineReason, HandoverReply};
use crate::{
    clock::{ClockTime, TimeSpan},
    ticket::TicketHolder,
};

/// Timing of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverTiming {
    /// Delay before an offer is repeated.
    pub pause: TimeSpan,
    /// Time after which no further offer is made.
    pub give_up_at: ClockTime,
}

/// Result of sending one offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverEvent {
    /// The connection failed; no byte was written.
    NotConnected,
    /// At least a part of the offer was written, and no reply was received.
    ReplyLost,
    /// The addressee replied.
    Replied(HandoverReply),
}

/// What to do next in a handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverStep {
    /// Offer the ledger to this process after a delay.
    Offer {
        /// The addressee.
        to: TicketHolder,
        /// Delay before the offer is sent.
        pause: TimeSpan,
    },
    /// This process has adopted the tickets.
    Done(TicketHolder),
    /// No process is known to have adopted the tickets. Unused ones may be lost.
    Lost,
}

/// State machine that decides to which process a sealed ledger is offered.
#[derive(Debug)]
pub struct HandoverMachine {
    candidates: VecDeque<TicketHolder>,
    timing: HandoverTiming,
    /// Whether the first candidate may have adopted the ledger: the reply to an
    /// offer was lost.
    in_doubt: bool,
}

impl HandoverMachine {
    /// Creates the machine with the possible successors in order of preference.
    #[must_use]
    pub fn new<I>(candidates: I, timing: HandoverTiming) -> Self
    where
        I: IntoIterator<Item = TicketHolder>,
    {
        Self {
            candidates: candidates.into_iter().collect(),
            timing,
            in_doubt: false,
        }
    }

    /// The first step.
    #[must_use]
    pub fn begin(&self) -> HandoverStep {
        self.offer_first(TimeSpan::ZERO)
    }

    /// Handles the result of the current offer and returns the next step.
    #[must_use]
    pub fn handle(&mut self, event: HandoverEvent, now: ClockTime) -> HandoverStep {
        if let HandoverEvent::Replied(HandoverReply::Adopted) = event {
            return self.done();
        }
        if self.rules_out_first(event) {
            self.candidates.pop_front();
            self.in_doubt = false;
            return self.offer_until_deadline(TimeSpan::ZERO, now);
        }
        if event == HandoverEvent::ReplyLost {
            self.in_doubt = true;
        }
        self.offer_until_deadline(self.timing.pause, now)
    }

    /// Whether the first candidate has not adopted the ledger and never will.
    fn rules_out_first(&self, event: HandoverEvent) -> bool {
        match event {
            HandoverEvent::NotConnected
            | HandoverEvent::Replied(HandoverReply::Declined(DeclineReason::NotAddressee)) => {
                !self.in_doubt
            }
            HandoverEvent::Replied(HandoverReply::Declined(
                DeclineReason::Sealed | DeclineReason::Full,
            )) => true,
            HandoverEvent::Replied(HandoverReply::Adopted) | HandoverEvent::ReplyLost => false,
        }
    }

    fn done(&self) -> HandoverStep {
        let first = self.candidates.front().cloned();
        first.map_or(HandoverStep::Lost, HandoverStep::Done)
    }

    fn offer_until_deadline(&self, pause: TimeSpan, now: ClockTime) -> HandoverStep {
        if now + pause > self.timing.give_up_at {
            return HandoverStep::Lost;
        }
        self.offer_first(pause)
    }

    fn offer_first(&self, pause: TimeSpan) -> HandoverStep {
        let first = self.candidates.front().cloned();
        first.map_or(HandoverStep::Lost, |to| HandoverStep::Offer { to, pause })
    }
}
