use http_types::{Response, StatusCode};
use verbenahub_core::{
    ids::RequestId,
    protocol::{AnswerEvent, AnswerOutcome, ErrorBody, headers},
    request::{FinalOutcome, StageOutput},
    ticket::KeptAnswer,
};

use crate::request::{BYTES_TYPE, RequestRefusal, STREAM_TYPE, encode_line};

const ERROR_TYPE: &str = "application/json";

/// Encodes the outcome of a run as the answer of its ticket.
pub(super) fn encode_run_answer(
    outcome: &FinalOutcome,
    output: &StageOutput,
    streams: bool,
) -> KeptAnswer {
    if let Some(error) = outcome.error_body() {
        return encode_refusal(&error.into());
    }
    let (media_type, body) = if streams {
        (STREAM_TYPE, encode_stream(outcome.request(), output).into())
    } else {
        (BYTES_TYPE, output.body.clone())
    };
    KeptAnswer {
        status: StatusCode::Ok.into(),
        media_type: media_type.to_owned(),
        outcome: AnswerOutcome::Done,
        body,
    }
}

/// Encodes a refusal as the answer of its ticket.
pub(super) fn encode_refusal(refusal: &RequestRefusal) -> KeptAnswer {
    KeptAnswer {
        status: refusal.to_response().status().into(),
        media_type: ERROR_TYPE.to_owned(),
        outcome: refusal.body().outcome,
        body: serde_json::to_vec(refusal.body())
            .unwrap_or_default()
            .into(),
    }
}

/// Builds the HTTP response to the call `call` from an answer.
pub(super) fn response_from_answer(answer: &KeptAnswer, call: &RequestId) -> Response {
    if answer.outcome != AnswerOutcome::Done
        && let Ok(error) = serde_json::from_slice::<ErrorBody>(&answer.body)
    {
        return RequestRefusal::from(error).to_response();
    }
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body.as_ref());
    response.insert_header("content-type", answer.media_type.as_str());
    response.insert_header(headers::REQUEST_ID, call.as_str());
    response
}

/// Encodes a streamed answer as a whole: one chunk with all tokens, and the end
/// event.
fn encode_stream(request: &RequestId, output: &StageOutput) -> Vec<u8> {
    let tokens = output.tokens;
    let chunk = AnswerEvent::Chunk {
        offset: 0,
        tokens,
        text: String::from_utf8_lossy(&output.body).into_owned(),
    };
    let end = AnswerEvent::End {
        request: request.clone(),
        outcome: AnswerOutcome::Done,
        tokens,
    };
    [encode_line(&chunk), encode_line(&end)].concat()
}
