//! Pools of encoders, retrievers and rerankers.

mod pool_command;
mod pool_handler;
mod pool_kind;
mod stage_output;

pub use self::{
    pool_command::PoolCommand,
    pool_handler::{PoolAnswer, PoolHandler},
    pool_kind::{KindError, PoolKind},
    stage_output::{DEFAULT_OUTPUT_LIMIT, input_digest, stage_output},
};
