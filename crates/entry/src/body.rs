//! Bodies of responses to callers.

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use rwd_types::Problem;
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::timeout;

use crate::problem_json::problem_body;
use crate::{ResponseEnd, ResponseEvent, ResponseReader};

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Period of the keep-alive comments on an idle stream.
pub(crate) const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Data of the last event of a complete stream.
const DONE: &str = "[DONE]";

pub(crate) fn full(data: impl Into<Bytes>) -> ResponseBody {
    Full::new(data.into()).boxed_unsync()
}

pub(crate) fn json(status: StatusCode, value: &serde_json::Value) -> Response<ResponseBody> {
    with_type(status, "application/json", value.to_string())
}

pub(crate) fn with_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// A response as server-sent events; `first` is the item already read from `reader`.
///
/// An idle stream sends a comment every [`KEEPALIVE_PERIOD`], so that a caller can tell a waiting
/// request from a dead connection.
pub(crate) fn events(
    key: String,
    first: Option<Result<ResponseEvent, ResponseEnd>>,
    reader: ResponseReader,
) -> Response<ResponseBody> {
    let state = Some((first, reader));
    let frames = stream::unfold((state, key), |(state, key)| async move {
        let (first, mut reader) = state?;
        let item = match first {
            Some(item) => Some(item),
            None => timeout(KEEPALIVE_PERIOD, reader.next()).await.ok(),
        };
        let (text, state) = match item {
            Some(Ok(event)) => (event_text(&event), Some((None, reader))),
            Some(Err(ResponseEnd::Complete { .. })) => (format!("data: {DONE}\n\n"), None),
            Some(Err(ResponseEnd::Failed(problem))) => (error_text(&problem, &key), None),
            None => (": waiting\n\n".to_owned(), Some((None, reader))),
        };
        let frame = Ok::<_, Infallible>(Frame::data(Bytes::from(text)));
        Some((frame, (state, key)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn event_text(event: &ResponseEvent) -> String {
    let data = String::from_utf8_lossy(&event.data);
    let mut text = format!("id: {}\n", event.id);
    for line in data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    text
}

fn error_text(problem: &Problem, key: &str) -> String {
    let body = problem_body(problem, Some(key));
    format!("event: error\ndata: {body}\n\n")
}
