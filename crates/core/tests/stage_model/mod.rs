//! A day of staged requests in virtual time: the queues and estimates of the
//! product on targets that take the published times.

mod load_kind;
mod model_request;
mod model_service;
mod stage_day;

pub use self::{
    load_kind::{KindStage, LoadBurst, LoadKind},
    model_service::ModelService,
    stage_day::StageDay,
};
