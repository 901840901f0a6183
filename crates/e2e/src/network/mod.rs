//! Addresses, a relay that fails on demand, and a small HTTP client.

mod address_source;
mod header_field;
mod http_answer;
mod http_call;
mod relay;
mod relay_mode;
mod relay_state;

pub use self::{
    address_source::free_address,
    header_field::HeaderField,
    http_answer::HttpAnswer,
    http_call::{CallError, HttpCall},
    relay::Relay,
    relay_mode::RelayMode,
};
