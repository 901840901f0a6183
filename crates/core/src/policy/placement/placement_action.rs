use crate::{clock::ClockTime, ids::TargetId, protocol::OrderCall};

/// What the owner of an engine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Read the engine's state.
    ReadState(TargetId),
    /// Send an order.
    SendOrder {
        /// The engine.
        target: TargetId,
        /// The order with its fencing token.
        call: OrderCall,
        /// Time from which the order must not be sent and the call is given up.
        /// Must be compared with a clock reading taken right before sending.
        not_after: ClockTime,
    },
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Taken,
    /// The engine has seen a higher fencing token.
    Stale,
    /// The order failed, or its outcome is unknown.
    Failed,
}
