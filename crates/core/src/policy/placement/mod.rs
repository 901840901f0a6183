//! Placement of models and adapters on engines.
//!
//! What each engine should hold ([`PlacementPlan`]) is a pure function of the
//! published records and the membership list, so nodes with the same revisions
//! agree without exchanging messages. Each engine has a home node, chosen by
//! rendezvous hashing, and only that node sends it orders
//! ([`PlacementController`]): it first reads the engine's state, sends one order
//! at a time, and uses the published revision as fencing token.

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
