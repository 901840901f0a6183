//! Graceful shutdown of a node.
//!
//! `Serving` -> `Unready` -> `Closing` -> `Finishing` -> `HandingOver` ->
//! `Stopped`. The node waits for work in progress until a second signal arrives
//! or the time limit is reached; work that is unfinished then is reported.

mod drain_action;
mod drain_controller;
mod drain_event;
mod drain_limits;
mod drain_phase;
mod drain_work;

pub use self::{
    drain_action::DrainAction, drain_controller::DrainController, drain_event::DrainEvent,
    drain_limits::DrainLimits, drain_phase::DrainPhase, drain_work::DrainWork,
};
