//! Which engine reads which prompt: one node keeps book for all of them.

mod engine_chooser;
mod engine_client;
mod prompt_place;

pub use self::{
    engine_chooser::{EngineChooser, EngineProgress, EngineReply, ReadWait},
    engine_client::EngineClient,
    prompt_place::PromptPlace,
};
