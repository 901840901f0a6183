//! The feeds of the platform: configuration service and membership list.

mod call_counter;
mod change_signal;
mod feed_command;
mod feed_handler;
mod feed_options;
mod feed_store;
mod reader_parity;

pub use self::{
    call_counter::{CallCounter, CallReport},
    change_signal::ChangeSignal,
    feed_command::{ConfigCommand, MembershipCommand},
    feed_handler::FeedHandler,
    feed_options::FeedOptions,
    feed_store::FeedStore,
    reader_parity::{ParityError, ReaderParity},
};
