//! Simulates staged requests in virtual time, with the real queues and
//! estimates, on targets whose calls take the published times.

mod request_kind;
mod simulated_request;
mod simulated_service;
mod stage_simulation;

pub use self::{
    request_kind::{KindStage, LoadBurst, RequestKind},
    simulated_service::SimulatedService,
    stage_simulation::{SimulationResult, StageSimulation},
};
