//! The answer of a request in the shape that its caller asked for.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use rwd_types::Problem;
use serde_json::json;
use tokio::time::timeout;

use crate::api::Route;
use crate::body::{KEEPALIVE_PERIOD, events, json as json_response, with_type};
use crate::problem_json::problem_response;
use crate::{End, ResponseBody, ResponseReader};

/// Tells the caller under which key its request runs.
const REQUEST_KEY_HEADER: &str = "x-request-key";

type Result<T> = std::result::Result<T, Problem>;

/// The answer in the shape that the caller asked for.
pub(crate) async fn respond(
    route: &Route<'_>,
    body: &Bytes,
    key: String,
    mut follow: ResponseReader,
) -> Result<Response<ResponseBody>> {
    let mut response = match route {
        Route::Service(_) => whole_service(&mut follow).await?,
        // A refusal that comes at once has an HTTP status of its own; later it is an event.
        _ if wants_stream(body) => match timeout(KEEPALIVE_PERIOD, follow.next()).await {
            Ok(Err(End::Failed(problem))) => problem_response(&problem, Some(&key)),
            first => events(key.clone(), first.ok(), follow),
        },
        _ => whole_completion(&key, &mut follow).await?,
    };
    if let Ok(value) = HeaderValue::try_from(&key) {
        response.headers_mut().insert(REQUEST_KEY_HEADER, value);
    }
    Ok(response)
}

// A caller that reads on sends no body and had a stream.
fn wants_stream(body: &Bytes) -> bool {
    #[derive(serde::Deserialize)]
    struct Asked {
        #[serde(default)]
        stream: bool,
    }
    body.is_empty() || serde_json::from_slice::<Asked>(body).is_ok_and(|asked| asked.stream)
}

async fn whole_service(follow: &mut ResponseReader) -> Result<Response<ResponseBody>> {
    let mut data = Bytes::new();
    loop {
        match follow.next().await {
            Ok(event) => data = event.data,
            Err(End::Whole { status }) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                return Ok(with_type(status, "application/json", data));
            }
            Err(End::Failed(problem)) => return Err(problem),
        }
    }
}

async fn whole_completion(
    key: &str,
    follow: &mut ResponseReader,
) -> Result<Response<ResponseBody>> {
    let mut text = String::new();
    let mut usage = serde_json::Value::Null;
    loop {
        match follow.next().await {
            Ok(event) => {
                let value: serde_json::Value =
                    serde_json::from_slice(&event.data).unwrap_or_default();
                text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
                if let Some(found) = value.get("usage") {
                    usage = found.clone();
                }
            }
            Err(End::Whole { .. }) => {
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
            Err(End::Failed(problem)) => return Err(problem),
        }
    }
}
