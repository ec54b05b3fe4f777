//! Encodes the response to a request in the form that its caller asked for.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use rwd_types::Problem;
use serde_json::json;
use tokio::time::timeout;

use crate::api::Route;
use crate::body::{KEEPALIVE_PERIOD, events, json as json_response, with_type};
use crate::problem_json::problem_response;
use crate::{ResponseBody, ResponseEnd, ResponseReader};

/// Response header with the key of the request.
const REQUEST_KEY_HEADER: &str = "x-request-key";

type Result<T> = std::result::Result<T, Problem>;

/// Encodes the response as an event stream, a completion object or a service body.
pub(crate) async fn respond(
    route: &Route<'_>,
    body: &Bytes,
    key: String,
    mut reader: ResponseReader,
) -> Result<Response<ResponseBody>> {
    let mut response = match route {
        Route::Service(_) => service_response(&mut reader).await?,
        // A failure within one keep-alive period has an HTTP status; a later one is an event.
        _ if wants_stream(body) => match timeout(KEEPALIVE_PERIOD, reader.next()).await {
            Ok(Err(ResponseEnd::Failed(problem))) => problem_response(&problem, Some(&key)),
            first => events(key.clone(), first.ok(), reader),
        },
        _ => completion_response(&key, &mut reader).await?,
    };
    if let Ok(value) = HeaderValue::try_from(&key) {
        response.headers_mut().insert(REQUEST_KEY_HEADER, value);
    }
    Ok(response)
}

// A caller that resumes sends no body; only streams can be resumed.
fn wants_stream(body: &Bytes) -> bool {
    #[derive(serde::Deserialize)]
    struct StreamFlag {
        #[serde(default)]
        stream: bool,
    }
    body.is_empty() || serde_json::from_slice::<StreamFlag>(body).is_ok_and(|flag| flag.stream)
}

async fn service_response(reader: &mut ResponseReader) -> Result<Response<ResponseBody>> {
    let mut data = Bytes::new();
    loop {
        match reader.next().await {
            Ok(event) => data = event.data,
            Err(ResponseEnd::Complete { status }) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                return Ok(with_type(status, "application/json", data));
            }
            Err(ResponseEnd::Failed(problem)) => return Err(problem),
        }
    }
}

async fn completion_response(
    key: &str,
    reader: &mut ResponseReader,
) -> Result<Response<ResponseBody>> {
    let mut text = String::new();
    let mut usage = serde_json::Value::Null;
    loop {
        match reader.next().await {
            Ok(event) => {
                let value: serde_json::Value =
                    serde_json::from_slice(&event.data).unwrap_or_default();
                text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
                if let Some(found) = value.get("usage") {
                    usage = found.clone();
                }
            }
            Err(ResponseEnd::Complete { .. }) => {
                return Ok(json_response(
                    StatusCode::OK,
                    &json!({
                        "id": key,
                        "object": "text_completion",
                        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
                        "usage": usage,
                    }),
                ));
            }
            Err(ResponseEnd::Failed(problem)) => return Err(problem),
        }
    }
}
