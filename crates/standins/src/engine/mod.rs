//! Model engine: batches, streams, caches prefixes and takes orders.

mod cache_log;
mod engine_command;
mod engine_handler;
mod engine_pace;
mod generated_text;
mod order_book;
mod prefix_cache;
mod stream_job;
mod weight_source;

pub use self::{
    cache_log::CacheLog,
    engine_command::EngineCommand,
    engine_handler::EngineHandler,
    engine_pace::EnginePace,
    generated_text::GeneratedText,
    order_book::{LoadTicket, OrderBook, OrderVerdict},
    prefix_cache::{PrefixCache, PrefixUse, prefix_hashes},
    stream_job::StreamJob,
    weight_source::WeightSource,
};
