//! Processes with ledgers, and a network between them that loses, repeats and
//! delays messages. The world counts effects and checks each answer.

mod tally;
mod ticket_process;
mod world_move;

use std::net::SocketAddr;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{PipelineName, WorkspaceId},
    protocol::AnswerOutcome,
    ticket::{
        BodyDigest, CallTicket, ClaimDecision, TicketHolder, TicketSigner,
        forward::{ForwardEvent, ForwardRoute, ForwardStep},
        handover::{HandoverEvent, HandoverMachine, HandoverOffer, HandoverReply, HandoverTiming},
    },
};

pub use self::{
    tally::{WorldStats, WorldTally},
    ticket_process::TicketProcess,
    world_move::{HopFate, MoveWeights, OfferFate, WorldMove},
};

/// Addresses at which processes run; each process but the last stays behind
/// as one that nobody reaches.
pub const SLOTS: usize = 3;

pub struct TicketWorld {
    signer: TicketSigner,
    processes: Vec<TicketProcess>,
    /// The process that is reached at each address.
    slots: [usize; SLOTS],
    tickets: Vec<CallTicket>,
    /// Every offer that was ever written, with the address it was written to.
    offers: Vec<(SocketAddr, Vec<u8>)>,
    pub tally: WorldTally,
}

impl TicketWorld {
    pub fn new() -> Self {
        let processes = (0..SLOTS).map(|slot| TicketProcess::new(slot, slot as u64));
        Self {
            signer: TicketSigner::new(b"secret"),
            processes: processes.collect(),
            slots: [0, 1, 2],
            tickets: Vec::new(),
            offers: Vec::new(),
            tally: WorldTally::default(),
        }
    }

    pub fn apply(&mut self, next: &WorldMove) {
        match next {
            WorldMove::Issue { slot } => self.issue(*slot),
            WorldMove::Call {
                ticket,
                body,
                fates,
            } => self.call(*ticket, *body, fates),
            WorldMove::Run {
                process,
                run,
                choice,
            } => {
                let process = process % self.processes.len();
                self.processes[process].advance_run(*run, *choice, &mut self.tally);
            }
            WorldMove::Wait { process, millis } => {
                let process = process % self.processes.len();
                self.processes[process].now =
                    self.processes[process].now + TimeSpan::from_millis(*millis);
            }
            WorldMove::Replace { slot, killed } => self.replace(*slot, *killed),
            WorldMove::Seal { process } => self.seal(*process),
            WorldMove::Offer { process, fate } => self.offer(*process, *fate),
            WorldMove::Deliver { offer } => self.deliver_again(*offer),
        }
    }

    fn issue(&mut self, slot: usize) {
        let pipeline = PipelineName::new("visit").unwrap();
        let workspace = WorkspaceId::new("inn").unwrap();
        let process = &mut self.processes[self.slots[slot]];
        let now = process.now;
        let issued = process
            .ledger
            .issue(&self.signer, &pipeline, &workspace, None, now);
        if let Ok(ticket) = issued {
            self.tickets.push(ticket);
        }
    }

    fn call(&mut self, ticket: usize, body: u8, fates: &[HopFate]) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets[ticket % self.tickets.len()].clone();
        let others = (0..SLOTS).map(TicketProcess::address_of);
        let mut route = ForwardRoute::new(ticket.address(), others);
        let mut step = route.begin();
        let mut fates = fates
            .iter()
            .copied()
            .chain(std::iter::repeat(HopFate::Arrives));
        while let ForwardStep::Call(address) = step {
            let event = match fates.next().unwrap() {
                HopFate::NotConnected => ForwardEvent::NotConnected,
                HopFate::LostBefore => ForwardEvent::AnswerLost,
                HopFate::LostAfter => {
                    let _ = self.claim_at(address, &ticket, body, false);
                    ForwardEvent::AnswerLost
                }
                HopFate::Arrives => self.claim_at(address, &ticket, body, true),
            };
            step = route.handle(event);
        }
        if let ForwardStep::GiveUp(failure) = step {
            assert_eq!(failure.outcome(), AnswerOutcome::OutcomeUnknown);
        }
    }

    fn claim_at(
        &mut self,
        address: SocketAddr,
        ticket: &CallTicket,
        body: u8,
        heard: bool,
    ) -> ForwardEvent {
        let process = &mut self.processes[self.slots[TicketProcess::slot_at(address)]];
        let digest = BodyDigest::of(&[body]);
        match process.ledger.claim(ticket, digest, process.now) {
            ClaimDecision::Run(claim) => process.start_run(claim, body),
            ClaimDecision::Join(pass) => {
                let _ = process.ledger.join(pass, body);
                self.tally.stats.joins += 1;
            }
            ClaimDecision::Repeat(answer) => self.tally.repeat(ticket.key(), body, &answer, heard),
            ClaimDecision::Moved(holder) => {
                self.tally.stats.moves += 1;
                return ForwardEvent::Moved(holder.address);
            }
            ClaimDecision::Refuse(refusal) => {
                if !self.tally.refuse(ticket.key(), body, refusal, heard) {
                    return ForwardEvent::NotOwner;
                }
            }
        }
        ForwardEvent::Answered
    }

    /// Starts a new process at an address. The old one is gone, or lives on
    /// where nobody reaches it.
    fn replace(&mut self, slot: usize, killed: bool) {
        let old = self.slots[slot];
        if killed {
            self.processes[old].kill();
        }
        self.slots[slot] = self.processes.len();
        let incarnation = self.processes.len() as u64;
        self.processes.push(TicketProcess::new(slot, incarnation));
    }

    fn seal(&mut self, process: usize) {
        let own = process % self.processes.len();
        let others: Vec<TicketHolder> = self
            .slots
            .iter()
            .filter(|slot| **slot != own)
            .map(|slot| self.processes[*slot].holder.clone())
            .collect();
        let timing = HandoverTiming {
            pause: TimeSpan::from_millis(10),
            give_up_at: ClockTime::from_millis(u64::MAX),
        };
        self.processes[own].seal(HandoverMachine::new(others, timing));
    }

    fn offer(&mut self, process: usize, fate: OfferFate) {
        let own = process % self.processes.len();
        let Some((to, message)) = self.processes[own].next_offer() else {
            return;
        };
        if fate != OfferFate::NotConnected {
            let bytes = rmp_serde::to_vec(&message).unwrap();
            self.offers.push((to.address, bytes));
        }
        let event = match fate {
            OfferFate::NotConnected => HandoverEvent::NotConnected,
            OfferFate::LostBefore => HandoverEvent::ReplyLost,
            OfferFate::LostAfter => {
                self.deliver(self.offers.len() - 1);
                HandoverEvent::ReplyLost
            }
            OfferFate::Arrives => HandoverEvent::Replied(self.deliver(self.offers.len() - 1)),
        };
        self.processes[own].end_offer(event, &mut self.tally);
    }

    fn deliver_again(&mut self, offer: usize) {
        if !self.offers.is_empty() {
            self.deliver(offer % self.offers.len());
        }
    }

    fn deliver(&mut self, offer: usize) -> HandoverReply {
        let (address, bytes) = &self.offers[offer];
        let message: HandoverOffer = rmp_serde::from_slice(bytes).unwrap();
        let process = &mut self.processes[self.slots[TicketProcess::slot_at(*address)]];
        process.ledger.adopt(&message, process.now)
    }
}
