//! Admission of requests at this node: the core's machine behind a short lock,
//! with the learned times that it needs.

mod admission_desk;
mod load_view;
mod pipeline_flights;
mod stage_book;

pub use self::{
    admission_desk::{AdmissionDesk, SlotWait, route_objective},
    load_view::LoadView,
    pipeline_flights::{PipelineFlight, PipelineFlights},
    stage_book::StageBook,
};
