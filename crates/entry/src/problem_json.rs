//! Problem details as `application/problem+json` (RFC 9457).

use http::{HeaderValue, Response, StatusCode, header};
use rwd_types::Problem;
use serde_json::json;

use crate::ResponseBody;
use crate::body::with_type;

/// Encodes a problem as JSON.
pub(crate) fn problem_body(problem: &Problem, request: Option<&str>) -> String {
    json!({
        "type": format!("urn:redwingdrift:problem:{}", problem.kind),
        "title": problem.kind.to_string(),
        "status": problem.kind.status(),
        "detail": problem.detail.as_str(),
        "ran": problem.ran,
        "retry_after_ms": problem.retry_after.map(|m| m.0),
        "request": request,
    })
    .to_string()
}

/// The HTTP response for a problem.
pub fn problem_response(problem: &Problem, request: Option<&str>) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(problem.kind.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = problem_body(problem, request);
    let mut response = with_type(status, "application/problem+json", body);
    if let Some(after) = problem.retry_after {
        let seconds = HeaderValue::from(after.0.div_ceil(1000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
