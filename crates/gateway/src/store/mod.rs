//! Reading the platform's store.

mod store_client;
mod store_error;
mod store_reader;
mod store_sync;

pub use self::{
    store_client::StoreClient, store_error::StoreError, store_reader::StoreReader,
    store_sync::StoreSync,
};
