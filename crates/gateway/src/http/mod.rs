//! HTTP/1.1 byte for byte: heads and bodies pass through unchanged, and every
//! doubt about where a message ends is an error.

mod body_framing;
mod body_reader;
mod head_error;
mod header_list;
mod http_stream;
mod request_head;
mod response_head;

pub use verbenahub_core::protocol::BodyFraming;

pub use self::{
    body_framing::{request_framing, response_framing},
    body_reader::{BodyError, BodyReader},
    head_error::HeadError,
    header_list::{HeaderField, HeaderList},
    http_stream::HttpStream,
    request_head::RequestHead,
    response_head::ResponseHead,
};
