use proptest::prelude::*;

use super::SLOTS;

/// Delivery of one hop of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopDelivery {
    Delivered,
    NotConnected,
    RequestLost,
    ReplyLost,
}

/// Delivery of one offer of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDelivery {
    Delivered,
    NotConnected,
    RequestLost,
    ReplyLost,
}

/// One event of a simulation.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    Issue {
        slot: usize,
    },
    Call {
        ticket: usize,
        body: u8,
        deliveries: Vec<HopDelivery>,
    },
    Run {
        process: usize,
        run: usize,
        choice: u8,
    },
    Wait {
        process: usize,
        millis: u64,
    },
    Replace {
        slot: usize,
        killed: bool,
    },
    Seal {
        process: usize,
    },
    Offer {
        process: usize,
        delivery: OfferDelivery,
    },
    Redeliver {
        offer: usize,
    },
}

fn hop_delivery() -> impl Strategy<Value = HopDelivery> {
    prop_oneof![
        5 => Just(HopDelivery::Delivered),
        1 => Just(HopDelivery::NotConnected),
        1 => Just(HopDelivery::RequestLost),
        1 => Just(HopDelivery::ReplyLost),
    ]
}

fn offer_delivery() -> impl Strategy<Value = OfferDelivery> {
    prop_oneof![
        2 => Just(OfferDelivery::Delivered),
        1 => Just(OfferDelivery::NotConnected),
        1 => Just(OfferDelivery::RequestLost),
        1 => Just(OfferDelivery::ReplyLost),
    ]
}

fn body() -> impl Strategy<Value = u8> {
    prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)]
}

fn wait() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..300, 1 => 900_u64..3_000]
}

/// Relative frequency of each kind of event.
#[derive(Clone, Copy, Debug)]
pub struct EventWeights {
    pub issue: u32,
    pub call: u32,
    pub run: u32,
    pub wait: u32,
    pub replace: u32,
    pub seal: u32,
    pub offer: u32,
    pub redeliver: u32,
    /// Number of tickets that calls choose from.
    pub tickets: usize,
}

impl SimulationEvent {
    pub fn any(weights: EventWeights) -> impl Strategy<Value = Self> {
        let deliveries = prop::collection::vec(hop_delivery(), 0..4);
        let process = 0_usize..6;
        let call = (0..weights.tickets, body(), deliveries);
        prop_oneof![
            weights.issue => (0..SLOTS).prop_map(|slot| Self::Issue { slot }),
            weights.call => call
                .prop_map(|(ticket, body, deliveries)| Self::Call { ticket, body, deliveries }),
            weights.run => (process.clone(), 0_usize..6, any::<u8>())
                .prop_map(|(process, run, choice)| Self::Run { process, run, choice }),
            weights.wait => (process.clone(), wait())
                .prop_map(|(process, millis)| Self::Wait { process, millis }),
            weights.replace => (0..SLOTS, any::<bool>())
                .prop_map(|(slot, killed)| Self::Replace { slot, killed }),
            weights.seal => process.clone().prop_map(|process| Self::Seal { process }),
            weights.offer => (process, offer_delivery())
                .prop_map(|(process, delivery)| Self::Offer { process, delivery }),
            weights.redeliver => (0_usize..6).prop_map(|offer| Self::Redeliver { offer }),
        ]
    }
}
