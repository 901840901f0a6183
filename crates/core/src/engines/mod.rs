//! Assignment of prompts to model engines.

mod assigned_request;
mod engine_pace;
mod engine_query;
mod engine_state;
mod mean_pace;
mod prefix_cache_estimate;
mod prompt_part;
mod prompt_progress;
mod prompt_scheduler;
mod prompt_step;
mod reading_pace;
mod zone_results;

pub use self::{
    engine_pace::EnginePace, engine_query::EngineQuery, prompt_part::PromptPart,
    prompt_progress::PromptProgress, prompt_scheduler::PromptScheduler, prompt_step::PromptStep,
    zone_results::ZoneResults,
};
