//! Reading the platform's store.

mod feed_reader;
mod news_driver;
mod store_client;
mod store_error;

pub use self::{
    feed_reader::FeedReader, news_driver::NewsDriver, store_client::StoreClient,
    store_error::StoreError,
};
