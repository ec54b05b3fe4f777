//! Bodies of answers to callers.

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
use crate::{End, ResponseEvent, ResponseReader};

/// The body of an answer to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, Infallible>;

/// Period of the comments on a stream that has nothing to say.
pub(crate) const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// What the last event of a whole stream says.
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

/// An answer as server-sent events; `first` is what has already been read from `follow`.
///
/// While there is nothing to say a comment goes out every [`KEEPALIVE_PERIOD`], so that a caller
/// can tell a waiting request from a silent connection.
pub(crate) fn events(
    key: String,
    first: Option<Result<ResponseEvent, End>>,
    follow: ResponseReader,
) -> Response<ResponseBody> {
    let state = Some((first, follow));
    let frames = stream::unfold((state, key), |(state, key)| async move {
        let (first, mut follow) = state?;
        let item = match first {
            Some(item) => Some(item),
            None => timeout(KEEPALIVE_PERIOD, follow.next()).await.ok(),
        };
        let (text, state) = match item {
            Some(Ok(event)) => (event_text(&event), Some((None, follow))),
            Some(Err(End::Whole { .. })) => (format!("data: {DONE}\n\n"), None),
            Some(Err(End::Failed(problem))) => (error_text(&problem, &key), None),
            None => (": waiting\n\n".to_owned(), Some((None, follow))),
        };
        let frame = Ok::<_, Infallible>(Frame::data(Bytes::from(text)));
        Some((frame, (state, key)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let event_stream = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, event_stream);
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
