//! Model servers and plain servers, which register themselves in the store.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::clock::since_start;
use crate::http::Request;
use crate::http::read_request;
use crate::http::write_response;
use crate::store::Store;
use crate::wire::wire;

/// Interval of a server's entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Tokens in one event of a stream.
pub const STRIDE: u64 = 7;

/// A request that a server began to work on.
#[derive(Clone)]
pub struct Run {
    pub at: f64,
    pub server: String,
    pub request: String,
    pub tenant: String,
}

/// What all servers of a case have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    first_event: Duration,
    event_gap: Duration,
    running: Arc<AtomicU64>,
    is_listed: Arc<AtomicBool>,
    runs: Runs,
}

pub struct ServerPlan<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
    /// Time to the first event of a stream.
    pub first_event: Duration,
    /// Time between two events of a stream.
    pub event_gap: Duration,
}

impl Server {
    pub fn start(listener: TcpListener, plan: &ServerPlan<'_>, store: &Store, runs: &Runs) -> Self {
        let server = Server {
            id: plan.id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: plan.service.to_owned(),
            zone: plan.zone.to_owned(),
            slots: plan.slots,
            first_event: plan.first_event,
            event_gap: plan.event_gap,
            running: Arc::default(),
            is_listed: Arc::new(AtomicBool::new(true)),
            runs: runs.clone(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        let (beating, store) = (server.clone(), store.clone());
        thread::spawn(move || beating.send_heartbeats(&store));
        server
    }

    fn send_heartbeats(&self, store: &Store) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        for seq in 1.. {
            if !self.is_listed.load(Ordering::Relaxed) {
                return;
            }
            let entry = include_str!("entry.json")
                .trim()
                .replace("SERVICE", &self.service)
                .replace("ADDRESS", &self.address.to_string())
                .replace("ZONE", &self.zone)
                .replace("SLOTS", &self.slots.to_string())
                .replace("BORN", &born.to_string())
                .replace("SEQ", &seq.to_string());
            store.put_outside(&format!("{}{}", wire("servers"), self.id), &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            if request.path() == "/health" {
                write_response(&mut writer, 200, &[(wire("instance"), &self.id)], "")?;
                continue;
            }
            let expected = request.header(wire("expected"));
            if expected.is_some_and(|expected| expected != self.id) {
                write_response(&mut writer, 421, &[(wire("instance"), &self.id)], "")?;
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            let result = match running > u64::from(self.slots) {
                true => {
                    let id = request.header(wire("request_id")).unwrap_or_default();
                    let headers = [(wire("not_run"), "1"), (wire("request_id"), id)];
                    write_response(&mut writer, 503, &headers, "")
                }
                false => self.run(&request, &mut writer),
            };
            self.running.fetch_sub(1, Ordering::Relaxed);
            result?;
        }
        Ok(())
    }

    fn run(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header(wire("request_id")).unwrap_or_default().to_owned();
        let tenant = request.header("tenant").unwrap_or("-").to_owned();
        let run = Run { at: since_start(), server: self.id.clone(), request: id.clone(), tenant };
        self.runs.lock().unwrap().push(run);
        let load = format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots);
        let seal = format!("seal.{}.{id}", self.id);
        let Some(counts) = request.header(wire("tokens")) else {
            thread::sleep(self.first_event);
            let headers = [
                (wire("request_id"), id.as_str()),
                (wire("seal"), seal.as_str()),
                (wire("load"), load.as_str()),
            ];
            return write_response(writer, 200, &headers, &format!("done {id}\n"));
        };
        let most: u64 = counts.split(',').nth(1).and_then(|n| n.trim().parse().ok()).unwrap_or(0);
        let first: u64 =
            request.header(wire("last_event")).and_then(|n| n.trim().parse().ok()).unwrap_or(0) + 1;
        thread::sleep(self.first_event);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}: {id}\r\n{}: {seal}\r\n{}: {load}\r\n\r\n",
            wire("request_id"),
            wire("seal"),
            wire("load")
        );
        writer.write_all(head.as_bytes())?;
        for event in first..=most / STRIDE {
            let text = format!("id: {event}\ndata: tokens of {id}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(self.event_gap);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
