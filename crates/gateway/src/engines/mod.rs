//! Which engine reads which prompt: one node keeps book for all of them.

mod engine_client;
mod engine_desk;
mod prompt_place;

pub use self::{
    engine_client::EngineClient,
    engine_desk::{EngineDesk, EngineNote, EngineReply, ReadAsk},
    prompt_place::PromptPlace,
};
