//! A strict HTTP/1.1 parser and writer. Heads and bodies are preserved byte for
//! byte, and any ambiguity about the end of a message is an error.

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
