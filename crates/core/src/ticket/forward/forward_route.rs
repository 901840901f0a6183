use std::{collections::VecDeque, net::SocketAddr};

use super::{ForwardEvent, ForwardFailure, ForwardStep};

/// Maximum number of times that one call is forwarded.
const CALL_LIMIT: u32 = 6;
/// Number of lost answers from one node after which the next node is called.
const LOST_ANSWER_LIMIT: u32 = 2;

/// State machine that decides to which nodes a call with a ticket is forwarded.
#[derive(Debug)]
pub struct ForwardRoute {
    current: SocketAddr,
    /// Nodes to call next, in order of preference.
    candidates: VecDeque<SocketAddr>,
    called: Vec<SocketAddr>,
    calls: u32,
    /// Number of lost answers from the current node.
    lost_at_current: u32,
    /// Whether an answer of any node was lost.
    answer_lost: bool,
}

impl ForwardRoute {
    /// Creates a route that starts with the issuer of the ticket or the node that
    /// is known to have adopted it. The other candidates follow in order of
    /// preference, in case that node is gone.
    #[must_use]
    pub fn new<I>(first: SocketAddr, candidates: I) -> Self
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        Self {
            current: first,
            candidates: candidates.into_iter().collect(),
            called: vec![first],
            calls: 1,
            lost_at_current: 0,
            answer_lost: false,
        }
    }

    /// The first step.
    #[must_use]
    pub const fn begin(&self) -> ForwardStep {
        ForwardStep::Call(self.current)
    }

    /// Handles the result of the current call and returns the next step.
    #[must_use]
    pub fn handle(&mut self, event: ForwardEvent) -> ForwardStep {
        match event {
            ForwardEvent::Answered => ForwardStep::ReturnAnswer,
            ForwardEvent::NotConnected | ForwardEvent::NotOwner => self.call_next_node(),
            ForwardEvent::Moved(address) => {
                self.candidates.push_front(address);
                self.call_next_node()
            }
            ForwardEvent::AnswerLost => self.handle_lost_answer(),
        }
    }

    /// Repeats the call at the same node, where it waits for the first call to
    /// end or gets its answer.
    fn handle_lost_answer(&mut self) -> ForwardStep {
        self.answer_lost = true;
        self.lost_at_current += 1;
        if self.lost_at_current >= LOST_ANSWER_LIMIT {
            return self.call_next_node();
        }
        self.call(self.current)
    }

    fn call_next_node(&mut self) -> ForwardStep {
        while let Some(address) = self.candidates.pop_front() {
            if !self.called.contains(&address) {
                self.called.push(address);
                self.current = address;
                self.lost_at_current = 0;
                return self.call(address);
            }
        }
        self.give_up()
    }

    fn call(&mut self, address: SocketAddr) -> ForwardStep {
        if self.calls >= CALL_LIMIT {
            return self.give_up();
        }
        self.calls += 1;
        ForwardStep::Call(address)
    }

    const fn give_up(&self) -> ForwardStep {
        ForwardStep::GiveUp(if self.answer_lost {
            ForwardFailure::AnswerLost
        } else {
            ForwardFailure::HolderGone
        })
    }
}
