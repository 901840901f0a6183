//! Placement of models and adapters on engines.
//!
//! What each engine shall hold ([`PlacementPlan`]) is a pure function of the
//! published records and the membership list, so nodes with the same revisions
//! agree without a message. Only the home of an engine sends it orders
//! ([`PlacementController`]): it reads the engine's state first, sends one order
//! at a time, and numbers it with the published revision.

mod candidate_engine;
mod desired_engine_state;
mod engine_tracker;
mod placement_action;
mod placement_controller;
mod placement_plan;

pub use self::{
    candidate_engine::CandidateEngine,
    desired_engine_state::{DesiredEngineState, DesiredModel},
    placement_action::{OrderOutcome, PlacementAction},
    placement_controller::PlacementController,
    placement_plan::PlacementPlan,
};
