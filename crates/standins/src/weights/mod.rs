//! The weight store.

mod token_bucket;
mod weights_command;
mod weights_handler;

pub use self::{
    token_bucket::TokenBucket,
    weights_command::WeightsCommand,
    weights_handler::{WEIGHTS_PATH, WeightsHandler},
};
