//! Which model engine reads which prompt.

mod engine_ask;
mod engine_book;
mod engine_memory;
mod prompt_end;
mod prompt_part;

pub use self::{
    engine_ask::EngineAsk, engine_book::EngineBook, prompt_end::PromptEnd, prompt_part::PromptPart,
};
