//! HTTP responses for refusals.

use berylwheel_http::ResponseBody;
use berylwheel_http::full_body;
use berylwheel_http::problem_body;
use berylwheel_types::Code;
use berylwheel_types::Refusal;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use hyper::Response;

use super::platform::Platform;

/// Builds the problem response for a refusal.
pub(crate) fn refusal_response(
    platform: &dyn Platform,
    refusal: &Refusal,
    id: &str,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(problem_body(refusal, id).to_string()));
    *response.status_mut() = refusal_status(refusal);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, content_type);
    platform.encode_refusal(headers, refusal);
    response
}

/// Returns the HTTP status of a refusal. A spent budget with a retry delay gets the status of an
/// unreachable one: other routers hold tokens of the budget and may return them soon.
fn refusal_status(refusal: &Refusal) -> StatusCode {
    let code = match (refusal.code, refusal.retry_after) {
        (Code::BudgetSpent, Some(_)) => Code::BudgetUnreachable,
        (code, _) => code,
    };
    StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
