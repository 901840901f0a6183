//! Sizes, rates and token counts that are parsed and printed with their units.

mod byte_size;
mod rate_limit;
mod token_count;

pub use self::{
    byte_size::{ByteSize, SizeError},
    rate_limit::{RateError, RateLimit},
    token_count::TokenCount,
};
