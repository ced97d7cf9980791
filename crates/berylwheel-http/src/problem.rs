//! Responses to refused requests, as problem details (`application/problem+json`, RFC 9457).

use berylwheel_types::Refusal;
use http_types::Response;
use serde_json::Value;
use serde_json::json;

/// Returns the problem details object for `refusal` of the request with id `request`.
pub fn problem_body(refusal: &Refusal, request: &str) -> Value {
    json!({
        "type": format!("urn:berylwheel:code:{}", refusal.code.number()),
        "title": refusal.code.title(),
        "status": refusal.code.status(),
        "detail": refusal.detail,
        "help": refusal.code.help(),
        "code": refusal.code.number(),
        "ran": refusal.ran.name(),
        "request_id": request,
    })
}

/// Returns the problem details response for `refusal` of the request with id `request`.
///
/// ```
/// use berylwheel_types::{Code, Refusal};
/// let refusal = Refusal::not_run(Code::QueueFull, "64 waiting");
/// assert_eq!(berylwheel_http::problem_response(&refusal, "r-1").status(), 429);
/// ```
pub fn problem_response(refusal: &Refusal, request: &str) -> Response {
    let mut response = Response::new(refusal.code.status());
    response.set_body(problem_body(refusal, request).to_string());
    response.insert_header("content-type", "application/problem+json");
    if let Some(delay) = refusal.retry_after {
        response.insert_header("retry-after", delay.0.div_ceil(1_000).to_string());
    }
    response
}
