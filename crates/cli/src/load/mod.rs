//! Open-loop load: requests are sent at their time, whether or not earlier
//! ones have been answered.

mod arrival_schedule;
mod body_maker;
mod burst_spec;
mod cost_table;
mod load_mix;
mod load_plan;
mod load_run;
mod request_sample;
mod sample_sink;

pub use self::{
    arrival_schedule::ArrivalSchedule,
    body_maker::BodyMaker,
    burst_spec::BurstSpec,
    cost_table::{CostTable, StageCost},
    load_mix::{LoadMix, MixPart},
    load_plan::LoadPlan,
    load_run::run_load,
    request_sample::{RequestSample, SampleEnd},
};
