//! Streams of engines that break off and are resumed, with an engine that sends raw bytes.

mod support;

use std::collections::VecDeque;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::chat_request;
use support::wait_until;

/// The remaining answers of the engine.
type Answers = Arc<Mutex<VecDeque<Answer>>>;

fn event(token: u64) -> String {
    let choice = json!({ "delta": { "content": format!("t{token}") } });
    format!("data: {}\n\n", json!({ "id": "{id}", "choices": [choice] }))
}

/// Returns the events of tokens 2 and 3, and the end of the stream.
fn rest() -> String {
    let usage = json!({ "id": "{id}", "choices": [], "usage": { "total_tokens": 9 } });
    event(2) + &event(3) + &format!("data: {usage}\n\ndata: [DONE]\n\n")
}

/// How the body of a stream ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Complete,
    AfterChunk,
    WithinChunk,
}

/// Returns the bytes of a response, for a request with the given id.
type Answer = Box<dyn Fn(&str) -> String + Send>;

fn raw(text: &str) -> Answer {
    let text = text.to_owned();
    Box::new(move |_| text.clone())
}

fn stream(body: &str, end: End) -> Answer {
    let body = body.to_owned();
    Box::new(move |id| {
        let body = body.replace("{id}", id);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        let chunk = |size: usize| format!("{head}{size:x}\r\n{body}");
        match end {
            End::Complete if body.is_empty() => format!("{head}0\r\n\r\n"),
            End::Complete => chunk(body.len()) + "\r\n0\r\n\r\n",
            End::AfterChunk => chunk(body.len()) + "\r\n",
            End::WithinChunk => chunk(body.len() + 1_000),
        }
    })
}

fn respond(stream: &mut TcpStream, answers: &Answers) -> Option<()> {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        request.push(byte[0]);
    }
    let head = String::from_utf8(request).ok()?.to_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length = header("content-length: ").and_then(|length| length.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).ok()?;
    let is_chat = head.starts_with("post /v1/chat/completions ");
    let answer = if is_chat { answers.lock().unwrap().pop_front() } else { None };
    let none = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let answer = answer.unwrap_or_else(|| raw(none));
    let id = header("x-request-id: ").unwrap_or_default();
    stream.write_all(answer(id).as_bytes()).ok()
}

fn start_engine() -> (SocketAddr, Answers) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answers = Answers::default();
    let shared = answers.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answers) = (stream.unwrap(), shared.clone());
            thread::spawn(move || respond(&mut stream, &answers));
        }
    });
    (address, answers)
}

/// Sends a chat request and returns all that the router sends.
fn call(router: SocketAddr) -> String {
    let request = chat_request(20, true, None);
    let body = String::from_utf8(request.body).unwrap().replace("m1", "m2");
    let headers = request.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n{body}",
        request.path,
        headers.collect::<String>(),
        body.len()
    );
    let mut stream = TcpStream::connect(router).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8(response).unwrap()
}

fn tokens(body: &str) -> Vec<String> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let content = |event: Value| event.pointer("/choices/0/delta/content").cloned();
    events.filter_map(content).filter_map(|text| Some(text.as_str()?.to_owned())).collect()
}

/// Guards against an engine's error response, a page or another request's events in the middle of a
/// stream, and against a stream that then ends as if it were complete.
#[test]
fn resumed_stream_holds_only_its_own_events() {
    let (address, answers) = start_engine();
    let sections = format!(
        "[kind raw]\nservice = engine\nmodels = m2\nrank = normal\nmax_tokens = 4000\n\
         deadline = 20s\n[server raw]\naddress = {address}\nkinds = raw\nmodels = m2\n\
         concurrency = 200\ndomain = d0\n"
    );
    let fleet =
        Fleet::start_with_settings("raw_engine", 1, &[], 1_000_000, &sections, ["chat", "m1"]);
    let call = |given: Vec<Answer>| {
        *answers.lock().unwrap() = given.into();
        call(fleet.router(0))
    };
    let begin = event(0) + &event(1);
    wait_until("the router knows the engine", || {
        let whole = stream(&(begin.clone() + &rest()), End::Complete);
        call(vec![whole]).contains("[DONE]").then_some(())
    });
    let partial = begin.clone() + "data: {\"id\":\"{id}\",\"cho";
    let error =
        |status: &str| format!("HTTP/1.1 {status} X\r\nContent-Length: 8\r\n\r\nfailed\n\n");
    let page =
        "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 15\r\n\r\n<p>failed</p>\n\n";
    let events = |body: &str| stream(body, End::Complete);
    let next: [(&str, &dyn Fn() -> Answer, bool); 11] = [
        ("500", &|| raw(&error("500")), false),
        ("404", &|| raw(&error("404")), false),
        ("204", &|| raw("HTTP/1.1 204 No Content\r\n\r\n"), false),
        ("HTML", &|| raw(page), false),
        ("HTTP head", &|| events(&error("500")), false),
        ("text in events", &|| events("data: failed\n\n"), false),
        ("JSON error", &|| events("data: {\"error\":\"failed\"}\n\n"), false),
        ("another request", &|| events(&rest().replace("{id}", "failed")), false),
        ("no events", &|| events(""), false),
        ("no HTTP", &|| raw("failed\r\n\r\n"), false),
        ("rest", &|| events(&rest()), true),
    ];
    let breaks = [
        ("after an event", &begin, End::AfterChunk),
        ("after an event, with a last chunk", &begin, End::Complete),
        ("within an event", &partial, End::AfterChunk),
        ("within an event, with a last chunk", &partial, End::Complete),
        ("in a chunk", &partial, End::WithinChunk),
    ];
    let mut wrong = String::new();
    for (place, first, end) in breaks {
        for (name, next, complete) in &next {
            let body = call(vec![stream(first, end), next(), next()]);
            let expected = if *complete { 4 } else { 2 };
            let expected: Vec<String> = (0..expected).map(|n| format!("t{n}")).collect();
            let ends = [body.contains("[DONE]"), body.ends_with("\r\n0\r\n\r\n")];
            if tokens(&body) != expected || ends != [*complete; 2] || body.contains("failed\n") {
                wrong += &format!("{name}, {place}: {body}\n");
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong}");
}
