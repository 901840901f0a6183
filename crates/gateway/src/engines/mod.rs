//! Choice of the engine that reads a prompt. For each engine one node keeps track
//! of the prompts that it reads and chooses on behalf of all nodes.

mod engine_assignment;
mod engine_chooser;
mod engine_client;

pub use self::{
    engine_assignment::EngineAssignment,
    engine_chooser::{EngineChooser, EngineProgress, EngineReply, ReadWait},
    engine_client::EngineClient,
};
