//! Answers that several stand-ins give.

use http_types::{Body, Response, StatusCode, mime};
use serde::Serialize;
use verbenahub_core::{
    clock::TimeSpan,
    protocol::headers::{RETRY_AFTER, RETRY_AFTER_MS},
};

/// An answer with a text for people.
#[must_use]
pub fn text(status: StatusCode, message: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(message);
    response
}

/// A whole answer in bytes.
#[must_use]
pub fn bytes(body: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.set_content_type(mime::BYTE_STREAM);
    response
}

/// An answer in JSON.
#[must_use]
pub fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    match Body::from_json(value) {
        Ok(body) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response
        }
        Err(error) => text(StatusCode::InternalServerError, &error.to_string()),
    }
}

/// An answer to a call that did not run, with the time to come back.
#[must_use]
pub fn refusal(status: StatusCode, retry_after: TimeSpan) -> Response {
    let mut response = text(status, "not run");
    response.insert_header(RETRY_AFTER, retry_after.as_secs_ceil().to_string());
    response.insert_header(RETRY_AFTER_MS, retry_after.as_millis().to_string());
    response
}

/// The answer to a path or method that does not exist.
#[must_use]
pub fn not_found() -> Response {
    text(StatusCode::NotFound, "no such path")
}
