//! Validation of requests and of caller and operator keys.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use berylwheel_http::OutgoingRequest;
use http_types::Method;
use serde_json::json;
use support::CALLER_KEY;
use support::Fleet;
use support::caller_request;
use support::chat_request;
use support::get;
use support::send;
use support::wait_until;

fn chat_with_body(body: &str) -> OutgoingRequest {
    caller_request(Method::Post, "/v1/chat/completions", None, body)
}

fn chat_with_authorization(value: Option<&str>) -> OutgoingRequest {
    let request = OutgoingRequest::new(Method::Post, "/v1/chat/completions").body("{}");
    match value {
        Some(value) => request.header("authorization", value),
        None => request,
    }
}

/// Guards against an invalid request that is billed, that leaks a reservation, or that crashes the
/// router.
#[test]
fn invalid_requests_return_their_code_and_are_not_billed() {
    let fleet = Fleet::start("input", 1, &[], 100_000);
    let messages = r#""messages":[{"role":"user","content":"hi"}]"#;
    let chat_with_fields = |fields: &str| chat_with_body(&format!("{{{fields},{messages}}}"));
    let large_body = "x".repeat(9 << 20);
    let model = r#""model":"m1""#;
    let with_header = |name: &str, value: &str| {
        chat_with_fields(&format!("{model},\"max_tokens\":5")).header(name, value)
    };
    let booking_request = |key| caller_request(Method::Post, "/services/booking/book", key, "{}");
    let empty_request = |method, path| caller_request(method, path, None, "");
    let cases = [
        ("no key", chat_with_authorization(None), 1111),
        ("not a bearer token", chat_with_authorization(Some("Basic abc")), 1111),
        ("wrong key", chat_with_authorization(Some("Bearer nobody")), 1111),
        ("not JSON", chat_with_body("{"), 1101),
        ("not an object", chat_with_body("[]"), 1101),
        ("no messages", chat_with_body(&format!("{{{model}}}")), 1102),
        ("no model", chat_with_body(&format!("{{{messages}}}")), 1102),
        ("unknown model", chat_with_fields(r#""model":"m9""#), 1114),
        ("invalid model name", chat_with_fields(r#""model":"a b""#), 1114),
        ("negative max_tokens", chat_with_fields(&format!("{model},\"max_tokens\":-1")), 1102),
        ("zero max_tokens", chat_with_fields(&format!("{model},\"max_tokens\":0")), 1102),
        ("fractional max_tokens", chat_with_fields(&format!("{model},\"max_tokens\":1.5")), 1102),
        (
            "huge max_tokens",
            chat_with_fields(&format!("{model},\"max_tokens\":18446744073709551615")),
            1102,
        ),
        ("stream not a boolean", chat_with_fields(&format!("{model},\"stream\":\"yes\"")), 1102),
        ("body too large", chat_with_body(&large_body), 1104),
        ("bad deadline", with_header("x-deadline-ms", "soon"), 1102),
        ("bad idempotency key", with_header("idempotency-key", "a b"), 1102),
        ("unknown path", empty_request(Method::Get, "/nothing"), 1113),
        ("unknown service", empty_request(Method::Get, "/services/none/x"), 1113),
        (
            "service path twice",
            caller_request(Method::Post, "/services//services/booking/book", Some("twice"), "{}"),
            1113,
        ),
        ("engine kind at the service path", empty_request(Method::Get, "/services/chat/x"), 1113),
        ("booking without key", booking_request(None), 1301),
        ("booking with a path in its key", booking_request(Some("../runs")), 1102),
        ("booking with a query in its key", booking_request(Some("a?b")), 1102),
        ("booking with a parent directory as its key", booking_request(Some("..")), 1102),
    ];
    for (case, request, code) in cases {
        let response = send(fleet.router(0), request);
        assert_eq!(
            (response.code(), response.execution_state().as_str()),
            (code, "not-run"),
            "{case}: {response:?}"
        );
    }
    let dump = get(fleet.admin(0), "/dump").json();
    assert_eq!(dump["requests"], 0);
    assert_eq!(fleet.account()["billed"], 0);
    assert_eq!(send(fleet.router(0), chat_request(1, false, None)).status, 200);
}

/// Guards against a reservation that is not released, and a generation that is not cancelled, when
/// the caller disconnects.
#[test]
fn disconnect_during_stream_releases_reservation() {
    let fleet = Fleet::start("leaving_caller", 1, &["--token-interval-ms", "5"], 100_000);
    let body = json!({
        "model": "m1", "stream": true, "max_tokens": 4_000,
        "messages": [{ "role": "user", "content": "hi" }],
    })
    .to_string();
    let mut stream =
        TcpStream::connect(fleet.router(0)).expect("the router accepts the connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    let mut buffer = [0; 512];
    assert!(stream.read(&mut buffer).expect("the response is readable") > 0);
    drop(stream);
    wait_until("the request ends at the router", || {
        let dump = get(fleet.admin(0), "/dump").json();
        (dump["requests"] == 0).then_some(())
    });
    let billed = wait_until("the generated tokens are billed", || {
        fleet.account()["billed"].as_u64().filter(|billed| *billed > 0)
    });
    assert!(billed < 4_000, "expected the engine to cancel the generation, billed {billed}");
}

/// Guards against a revoked caller key that is still accepted, and against operator endpoints that
/// accept requests without a key.
#[test]
fn revoked_and_missing_keys_are_refused() {
    let fleet = Fleet::start("keys", 2, &[], 100_000);
    let address = fleet.admin(0).to_string();
    let operator = ["--address", &address, "--operator-key", support::OPERATOR_KEY];
    let key = support::run_command(&[&["key", "create", "w", "second"][..], &operator].concat());
    let request = || {
        OutgoingRequest::new(Method::Get, "/v1/models")
            .header("authorization", format!("Bearer {}", key.trim()))
    };
    wait_until("both routers accept the new key", || {
        (0..2).all(|i| send(fleet.router(i), request()).status == 200).then_some(())
    });
    support::run_command(&[&["key", "revoke", "w", "second"][..], &operator].concat());
    wait_until("both routers refuse the revoked key", || {
        (0..2).all(|i| send(fleet.router(i), request()).code() == 1111).then_some(())
    });
    for path in ["/admin/config", "/admin/budgets/w/main"] {
        let denied = get(fleet.admin(0), path);
        assert_eq!(denied.code(), 1115, "{denied:?}");
    }
}
