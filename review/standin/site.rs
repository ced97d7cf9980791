//! The small deployment that the cases share: three machines and the servers of one service, with the
//! figures of the site `sugandh-counters`.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::free_address;
use crate::http;
use crate::now_ms;

pub const ZONES: [&str; 3] = ["ahmedabad-a", "surat-b", "vadodara-c"];
/// The names that the two services have on this day.
pub const MODELS: &str = "hulo90a";
pub const BOOKINGS: &str = "bazi10b";
pub const HOST: &str = "kase53.example";
pub const CHAT: &str = "/lovo630/";
/// `contact_ms` of the site.
pub const CONTACT: u64 = 3_000;
/// `configuration_ms` of the site.
pub const CONFIGURATION: u64 = 2_000;
/// Time in which a started fleet settles: the machines find each other and take tokens of budgets.
const SETTLE: Duration = Duration::from_secs(4);

/// One route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    /// `safe`, `unsafe` or `streaming`.
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    /// Whether its requests carry prompts.
    pub prompts: bool,
    pub attempts: u32,
}

/// One tenant of a configuration.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
    pub prepaid: u64,
}

/// Returns the operator's configuration.
pub fn configuration(version: u64, routes: &[Route<'_>], tenants: &[Tenant<'_>]) -> String {
    let route = |route: &Route<'_>| {
        let Route { name, prefix, kind, service, timeout_ms, prompts, attempts } = route;
        let gap = if *kind == "streaming" { ",\"gap_target_ms\":400" } else { "" };
        let goal = if *prompts { 500 } else { 150 };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"goal_latency_ms\":{goal},\"priority\":0,\
             \"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\
             \"session_affinity\":{prompts},\"resumable\":false{gap}}}"
        )
    };
    let tenant = |tenant: &Tenant<'_>| {
        let Tenant { name, keys, prepaid } = tenant;
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        format!("{{\"name\":\"{name}\",\"keys\":[{keys}],\"prepaid\":{prepaid}}}")
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{MODELS}\",\
         \"health_path\":\"/health\",\"connection_cap\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_tokens\":387213,\"token_kv_bytes\":18432,\
         \"link_mbps\":740000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{BOOKINGS}\",\"health_path\":\"/health\",\"connection_cap\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// How the servers of a service answer.
pub struct Servers<'a> {
    pub service: &'a str,
    pub count: usize,
    /// `chunks` or `none` for streams; `length` for whole answers.
    pub framing: &'a str,
    /// The part of a prompt that crashes them; empty for none.
    pub bad_part: &'a str,
    pub prefill_ms: u64,
    pub gap_ms: u64,
    pub events: usize,
}

/// Starts three machines and `servers`, and waits until the fleet has settled. Returns the reason if
/// it doesn't get ready.
pub fn start(configuration: &str, servers: &[Servers<'_>]) -> io::Result<Result<Fleet, String>> {
    let mut fleet = Fleet::start(&ZONES, configuration)?;
    let mut started = 0;
    for Servers { service, count, framing, bad_part, prefill_ms, gap_ms, events } in servers {
        for number in 1..=*count {
            let id = format!("i-{service}{number:02}");
            let args = [
                "engine".to_owned(),
                format!("id={id}"),
                format!("service={service}"),
                format!("zone={}", ZONES[number % ZONES.len()]),
                format!("address={}", free_address()?),
                format!("operator={}", fleet.store.operator),
                format!("framing={framing}"),
                format!("bad={bad_part}"),
                format!("prefill_ms={prefill_ms}"),
                format!("gap_ms={gap_ms}"),
                format!("events={events}"),
                format!("record={}", fleet.server_record().display()),
            ];
            fleet.start_server(args.to_vec())?;
            started += 1;
        }
    }
    if !fleet.wait_ready(started) {
        return Ok(Err("the machines did not get ready".to_owned()));
    }
    thread::sleep(SETTLE);
    Ok(Ok(fleet))
}

/// A request of a client.
pub struct Call<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    /// The value of `Prompt-Prefix` and `Token-Counts`, if it has a prompt.
    pub prompt: Option<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

impl Call<'_> {
    /// Returns the bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Call { id, path, key, deadline, prompt, body } = self;
        let prompt = prompt.map_or_else(String::new, |(prefix, counts)| {
            format!("Model: m\r\nToken-Counts: {counts}\r\nPrompt-Prefix: {prefix}\r\n")
        });
        let mut bytes = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n{prompt}\
             Deadline-Remaining: {}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            deadline.as_millis(),
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// What became of one request.
pub struct Sent {
    pub id: String,
    /// The kind of request, as the case names it.
    pub kind: &'static str,
    pub at: u64,
    /// Status of the answer; zero if there was none.
    pub status: u16,
    /// Number of events of a stream.
    pub events: usize,
    pub complete: bool,
    pub detail: String,
}

impl Sent {
    pub fn line(&self) -> String {
        let Sent { id, kind, status, events, complete, detail, .. } = self;
        let end = if *complete { "complete" } else { "not complete" };
        format!("client: {kind} {id} answered {status}, {events} events, {end} {detail}")
    }
}

/// Sends a request on a connection of its own.
pub fn send(front: SocketAddr, call: &Call<'_>, kind: &'static str) -> Sent {
    let at = now_ms();
    let id = call.id.to_owned();
    match http::call(front, &call.bytes(), call.deadline) {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let events = body.matches("id: ").count();
            let (status, complete) = (answer.status, answer.complete);
            let detail = if status == 200 { String::new() } else { body.replace('\n', " ") };
            Sent { id, kind, at, status, events, complete, detail }
        }
        Err(error) => {
            let detail = format!("no answer: {error}");
            Sent { id, kind, at, status: 0, events: 0, complete: false, detail }
        }
    }
}

/// A line that a server has written.
pub struct ServerLine {
    pub at: u64,
    pub server: String,
    /// `start`, `reach`, `done`, `dropped` or `crash`.
    pub event: String,
    /// Id of the request.
    pub id: String,
}

/// Returns what the servers have recorded.
pub fn server_lines(fleet: &Fleet) -> io::Result<Vec<ServerLine>> {
    let text = fs::read_to_string(fleet.server_record())?;
    let line = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, server, event, id] = words[..] else { return None };
        let (server, event, id) = (server.to_owned(), event.to_owned(), id.to_owned());
        Some(ServerLine { at: at.parse().ok()?, server, event, id })
    };
    Ok(text.lines().filter_map(line).collect())
}
