//! The graceful stop of a node.
//!
//! `Serving` -> `Unready` -> `Closing` -> `Finishing` -> `HandingOver` ->
//! `Stopped`. A second signal and the time limit both end the waiting for
//! work; what was still running is reported.

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
