//! Which model engine reads which prompt.

mod engine_ask;
mod engine_book;
mod engine_memory;
mod engine_state;
mod placed_request;
mod prompt_news;
mod prompt_part;
mod prompt_step;
mod zone_results;

pub use self::{
    engine_ask::EngineAsk, engine_book::EngineBook, prompt_news::PromptNews,
    prompt_part::PromptPart, prompt_step::PromptStep, zone_results::ZoneResults,
};
