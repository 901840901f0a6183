use std::{collections::VecDeque, net::SocketAddr};

use super::{ForwardEvent, ForwardFailure, ForwardStep};

/// Largest number of calls for one call of a caller.
const CALL_LIMIT: u32 = 6;
/// Calls to one node whose answers are lost before another node is asked.
const LOST_LIMIT: u32 = 2;

/// Decides to which nodes a ticket call is passed on.
#[derive(Debug)]
pub struct ForwardRoute {
    current: SocketAddr,
    successors: VecDeque<SocketAddr>,
    asked: Vec<SocketAddr>,
    calls: u32,
    lost_here: u32,
    lost: bool,
}

impl ForwardRoute {
    /// Starts with the issuer of the ticket; the likely successors follow, the
    /// best first, in case it is gone.
    #[must_use]
    pub fn new<I>(issuer: SocketAddr, successors: I) -> Self
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        Self {
            current: issuer,
            successors: successors.into_iter().collect(),
            asked: vec![issuer],
            calls: 1,
            lost_here: 0,
            lost: false,
        }
    }

    /// The first step.
    #[must_use]
    pub const fn begin(&self) -> ForwardStep {
        ForwardStep::Call(self.current)
    }

    /// Takes the end of a call and says what to do next.
    #[must_use]
    pub fn handle(&mut self, event: ForwardEvent) -> ForwardStep {
        match event {
            ForwardEvent::Answered => ForwardStep::ReturnAnswer,
            ForwardEvent::NotConnected | ForwardEvent::NotOwner => self.call_next(),
            ForwardEvent::Moved(address) => {
                self.successors.push_front(address);
                self.call_next()
            }
            ForwardEvent::AnswerLost => self.after_loss(),
        }
    }

    /// Repeats the call at the same node, where it joins the first or gets
    /// its answer.
    fn after_loss(&mut self) -> ForwardStep {
        self.lost = true;
        self.lost_here += 1;
        if self.lost_here >= LOST_LIMIT {
            return self.call_next();
        }
        self.call(self.current)
    }

    fn call_next(&mut self) -> ForwardStep {
        while let Some(address) = self.successors.pop_front() {
            if !self.asked.contains(&address) {
                self.asked.push(address);
                self.current = address;
                self.lost_here = 0;
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
        ForwardStep::GiveUp(if self.lost {
            ForwardFailure::AnswerLost
        } else {
            ForwardFailure::HolderGone
        })
    }
}
