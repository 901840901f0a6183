//! Placement of models and adapters on engines.
//!
//! What each engine should hold ([`PlacementPlan`]) is a pure function of the
//! published records and the membership list, so nodes with the same revisions
//! agree without exchanging messages. Each engine has an owner, a node chosen by
//! rendezvous hashing ([`OwnerView`](super::limits::OwnerView)), and only that
//! node sends it orders ([`PlacementController`]): it first reads the engine's
//! state and sends one order at a time. Each order carries a fencing token, the
//! `fence`, which is the revision of the plan.

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
