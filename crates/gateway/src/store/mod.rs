//! Reading the platform's store.

mod feed_reader;
mod store_client;
mod store_error;

pub use self::{
    feed_reader::{FeedReader, StoreFeed},
    store_client::StoreClient,
    store_error::StoreError,
};
