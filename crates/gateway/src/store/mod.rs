//! Reads configuration and registered targets from the platform's store, directly
//! or through other gateways.

mod store_client;
mod store_error;
mod store_listing;
mod store_reader;
mod store_sync;

pub use self::{
    store_client::StoreClient, store_error::StoreError, store_reader::StoreReader,
    store_sync::StoreSync,
};
