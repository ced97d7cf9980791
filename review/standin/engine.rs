//! A server of the platform: registers itself in the store, and answers with a stream of events or
//! with a whole body. A model server ends when it begins to write an answer to a prompt with the part
//! that crashes it.

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Request;
use crate::json::base64;
use crate::json::quote;
use crate::now_ms;

/// Interval of the entries in the store, as the pages have it.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// A stream with chunks.
    Chunks,
    /// A stream that ends with its connection.
    None,
    /// A whole answer with a length.
    Length,
}

struct Engine {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    operator: SocketAddr,
    born: u64,
    framing: Framing,
    /// The part that crashes the server; empty for none.
    bad_part: String,
    prefill: Duration,
    /// Pause between two events of a stream.
    gap: Duration,
    events: usize,
    running: AtomicUsize,
    record: Mutex<File>,
}

/// Runs the server with arguments of the form NAME=VALUE.
pub fn run(args: &BTreeMap<String, String>) -> io::Result<()> {
    let get = |name: &str| args.get(name).cloned().unwrap_or_default();
    let number = |name: &str| get(name).parse::<u64>().unwrap_or_default();
    let invalid = |_| io::Error::from(io::ErrorKind::InvalidInput);
    let engine = Arc::new(Engine {
        id: get("id"),
        service: get("service"),
        zone: get("zone"),
        address: get("address").parse().map_err(invalid)?,
        operator: get("operator").parse().map_err(invalid)?,
        born: now_ms(),
        framing: match get("framing").as_str() {
            "none" => Framing::None,
            "length" => Framing::Length,
            _ => Framing::Chunks,
        },
        bad_part: get("bad"),
        prefill: Duration::from_millis(number("prefill_ms")),
        gap: Duration::from_millis(number("gap_ms")),
        events: number("events") as usize,
        running: AtomicUsize::new(0),
        record: Mutex::new(OpenOptions::new().create(true).append(true).open(get("record"))?),
    });
    let listener = TcpListener::bind(engine.address)?;
    engine.log("start", "");
    let registering = engine.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            if let Err(error) = registering.register(sequence) {
                registering.log("unregistered", &error.to_string());
            }
            thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        thread::spawn(move || engine.serve(stream));
    }
    Ok(())
}

impl Engine {
    /// Appends one line to the record, in one write.
    fn log(&self, event: &str, detail: &str) {
        let line = format!("{} {} {event} {detail}\n", now_ms(), self.id);
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn register(&self, sequence: u64) -> io::Result<()> {
        let Engine { id, service, zone, address, born, .. } = self;
        let entry = format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":{sequence},\"born\":{born}}}",
            quote(service),
            quote(zone)
        );
        let (key, value) = (quote(&format!("servers/{id}")), quote(&base64(entry.as_bytes())));
        let body = format!("{{\"writes\":[{{\"key\":{key},\"value\":{value}}}]}}");
        let length = body.len();
        let head =
            format!("POST /kv-txn HTTP/1.1\r\nHost: store\r\nContent-Length: {length}\r\n\r\n");
        let request = format!("{head}{body}");
        http::call(self.operator, request.as_bytes(), Duration::from_secs(1)).map(|_| ())
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let kept = self.answer(&request, &mut out);
            if !kept.unwrap_or(false) {
                return;
            }
        }
    }

    /// Returns the headers of each answer.
    fn headers(&self, id: &str) -> String {
        let load = format!("Server-Load: {},0,64\r\n", self.running.load(Ordering::Relaxed));
        format!("Attempt-Id: {id}\r\nResponse-Seal: {}.{id}\r\n{load}", self.id)
    }

    /// Answers a request and returns whether the connection stays open.
    fn answer(&self, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let own = format!("Instance-Id: {}\r\n", self.id);
        if request.path() == "/health" {
            return http::respond(out, "200 OK", &own, "").map(|()| true);
        }
        if request.header("Expected-Instance").is_some_and(|id| id != self.id) {
            return http::respond(out, "421 Misdirected Request", &own, "").map(|()| true);
        }
        let Some(id) = request.header("Attempt-Id") else {
            return http::respond(out, "400 Bad Request", "Not-Executed: 1\r\n", "").map(|()| true);
        };
        let prefix = request.header("Prompt-Prefix").unwrap_or_default();
        let parts: Vec<&str> =
            prefix.split(',').filter_map(|e| e.trim().split(':').next()).collect();
        let is_bad = !self.bad_part.is_empty() && parts.contains(&self.bad_part.as_str());
        self.log("reach", id);
        self.running.fetch_add(1, Ordering::Relaxed);
        let written = match self.framing {
            Framing::Length => {
                thread::sleep(self.prefill);
                http::respond(out, "200 OK", &self.headers(id), &format!("answer to {id}"))
            }
            Framing::Chunks | Framing::None => self.write_stream(id, is_bad, out),
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.log(if written.is_ok() { "done" } else { "dropped" }, id);
        written.map(|()| self.framing != Framing::None)
    }

    fn write_stream(&self, id: &str, is_bad: bool, out: &mut TcpStream) -> io::Result<()> {
        thread::sleep(self.prefill);
        let chunked = self.framing == Framing::Chunks;
        let framing = if chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let headers = self.headers(id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\
             {headers}{framing}\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for number in 1..=self.events {
            let event = format!("id: {number}\ndata: tokens of {id}\n\n");
            let length = event.len();
            let bytes = if chunked { format!("{length:x}\r\n{event}\r\n") } else { event };
            out.write_all(bytes.as_bytes())?;
            if is_bad {
                self.log("crash", id);
                process::exit(3);
            }
            thread::sleep(self.gap);
        }
        if chunked {
            out.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
