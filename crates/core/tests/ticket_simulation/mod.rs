//! Simulates processes with ledgers and a network between them that loses,
//! repeats and delays messages. Counts side effects and checks each answer.

mod outcome_checker;
mod simulation_event;
mod ticket_process;

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
    outcome_checker::{OutcomeChecker, SimulationStats},
    simulation_event::{EventWeights, HopDelivery, OfferDelivery, SimulationEvent},
    ticket_process::TicketProcess,
};

/// Number of addresses at which processes run. Only the latest process at an
/// address is reachable; earlier ones may still be running.
pub const SLOTS: usize = 3;

pub struct TicketSimulation {
    signer: TicketSigner,
    processes: Vec<TicketProcess>,
    /// Index of the process that is reachable at each address.
    slots: [usize; SLOTS],
    tickets: Vec<CallTicket>,
    /// All offers that were written, each with the address that it was written to.
    offers: Vec<(SocketAddr, Vec<u8>)>,
    pub checker: OutcomeChecker,
}

impl TicketSimulation {
    pub fn new() -> Self {
        let processes = (0..SLOTS).map(|slot| TicketProcess::new(slot, slot as u64));
        Self {
            signer: TicketSigner::new(b"secret"),
            processes: processes.collect(),
            slots: [0, 1, 2],
            tickets: Vec::new(),
            offers: Vec::new(),
            checker: OutcomeChecker::default(),
        }
    }

    pub fn apply(&mut self, event: &SimulationEvent) {
        match event {
            SimulationEvent::Issue { slot } => self.issue(*slot),
            SimulationEvent::Call {
                ticket,
                body,
                deliveries,
            } => self.call(*ticket, *body, deliveries),
            SimulationEvent::Run {
                process,
                run,
                choice,
            } => {
                let process = process % self.processes.len();
                self.processes[process].advance_run(*run, *choice, &mut self.checker);
            }
            SimulationEvent::Wait { process, millis } => {
                let process = process % self.processes.len();
                self.processes[process].now =
                    self.processes[process].now + TimeSpan::from_millis(*millis);
            }
            SimulationEvent::Replace { slot, killed } => self.replace(*slot, *killed),
            SimulationEvent::Seal { process } => self.seal(*process),
            SimulationEvent::Offer { process, delivery } => self.offer(*process, *delivery),
            SimulationEvent::Redeliver { offer } => self.redeliver(*offer),
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

    fn call(&mut self, ticket: usize, body: u8, deliveries: &[HopDelivery]) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets[ticket % self.tickets.len()].clone();
        let others = (0..SLOTS).map(TicketProcess::address_of);
        let mut route = ForwardRoute::new(ticket.address(), others);
        let mut step = route.begin();
        let mut deliveries = deliveries
            .iter()
            .copied()
            .chain(std::iter::repeat(HopDelivery::Delivered));
        while let ForwardStep::Call(address) = step {
            let event = match deliveries.next().unwrap() {
                HopDelivery::NotConnected => ForwardEvent::NotConnected,
                HopDelivery::RequestLost => ForwardEvent::AnswerLost,
                HopDelivery::ReplyLost => {
                    let _ = self.claim_at(address, &ticket, body, false);
                    ForwardEvent::AnswerLost
                }
                HopDelivery::Delivered => self.claim_at(address, &ticket, body, true),
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
        received: bool,
    ) -> ForwardEvent {
        let process = &mut self.processes[self.slots[TicketProcess::slot_at(address)]];
        let digest = BodyDigest::of(&[body]);
        match process.ledger.claim(ticket, digest, process.now) {
            ClaimDecision::Run(claim) => process.start_run(claim, body),
            ClaimDecision::Join(token) => {
                let _ = process.ledger.join(token, body);
                self.checker.stats.joins += 1;
            }
            ClaimDecision::Repeat(kept) => self.checker.repeat(ticket.key(), body, &kept, received),
            ClaimDecision::Moved(holder) => {
                self.checker.stats.redirects += 1;
                return ForwardEvent::Moved(holder.address);
            }
            ClaimDecision::Refuse(refusal) => {
                if !self.checker.refuse(ticket.key(), body, refusal, received) {
                    return ForwardEvent::NotOwner;
                }
            }
        }
        ForwardEvent::Answered
    }

    /// Starts a new process at an address. The old one is killed, or keeps
    /// running but is unreachable.
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

    fn offer(&mut self, process: usize, delivery: OfferDelivery) {
        let own = process % self.processes.len();
        let Some((to, message)) = self.processes[own].next_offer() else {
            return;
        };
        if delivery != OfferDelivery::NotConnected {
            let bytes = rmp_serde::to_vec(&message).unwrap();
            self.offers.push((to.address, bytes));
        }
        let event = match delivery {
            OfferDelivery::NotConnected => HandoverEvent::NotConnected,
            OfferDelivery::RequestLost => HandoverEvent::ReplyLost,
            OfferDelivery::ReplyLost => {
                self.deliver(self.offers.len() - 1);
                HandoverEvent::ReplyLost
            }
            OfferDelivery::Delivered => HandoverEvent::Replied(self.deliver(self.offers.len() - 1)),
        };
        self.processes[own].end_offer(event, &mut self.checker);
    }

    fn redeliver(&mut self, offer: usize) {
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
