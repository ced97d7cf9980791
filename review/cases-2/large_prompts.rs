//! One tenant sends many times its usual; its prompts are as large as the configuration allows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Answer;
use crate::client::ModelRequest;
use crate::client::send_on;
use crate::clock::since_start;
use crate::fleet::Fleet;
use crate::fleet::ZONES;
use crate::fleet::listen;
use crate::fleet::machine_ip;
use crate::server::Runs;
use crate::server::STRIDE;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::store::Store;
use crate::wire::configuration;
use crate::wire::wire;

const ROUTERS: usize = 9;
const SERVERS: usize = 12;
/// Memory of a machine, in bytes.
const MEMORY: u64 = 110 << 20;
/// Interval at which the platform looks at the memory, and its delay before a restart.
const MEMORY_CHECK: Duration = Duration::from_millis(20);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Size of a prompt; the configuration allows 4,194,304.
const BODY_BYTES: usize = 4_000_000;
const PROMPT_TOKENS: u64 = 17_020;
const EVENTS: u64 = 17;
/// Connections that the tenant's clients keep open.
const CONNECTIONS: usize = 64;
/// Requests a second, usually and by how much more while the tenant is busy.
const USUAL_RATE: f64 = 2.0;
const BUSY_FACTOR: f64 = 7.5;
/// When the tenant is busy, and for how long.
const BUSY_AT: [Duration; 3] =
    [Duration::from_secs(6), Duration::from_secs(22), Duration::from_secs(38)];
const BUSY_FOR: Duration = Duration::from_millis(6_500);
/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(50);
/// Requests on kept connections that may be left without an answer.
const LOST_LIMIT: usize = 3;

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start(listen(machine_ip(2, 0)));
    store.put_outside(wire("configuration"), &configuration(1_000_000_000));
    let runs = Runs::default();
    for number in 0..SERVERS {
        let plan = ServerPlan {
            id: &format!("i-{number:08x}"),
            service: "huvo11a",
            zone: ZONES[number % 3],
            slots: 64,
            first_event: Duration::from_millis(600),
            event_gap: Duration::from_millis(30),
        };
        Server::start(listen(machine_ip(3, number)), &plan, &store, &runs);
    }
    let fleet = Fleet::start(ROUTERS, store.address).map_err(|error| error.to_string())?;
    if !fleet.await_ready(Duration::from_secs(20)) {
        return Err("the routers do not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs_f64((10.0 - since_start()).max(0.0)));
    let front = fleet.routers[0].front();
    let stop = Arc::new(AtomicBool::new(false));
    let watching = (stop.clone(), store.address);
    let platform = thread::spawn(move || watch_memory(fleet, watching.1, &watching.0));
    let answers = send_traffic(front, trouble);
    stop.store(true, Ordering::Relaxed);
    let record = platform.join().map_err(|_| "the platform failed")?;
    Ok(judge(&answers, &runs, record))
}

/// Kills processes that exceed the memory of their machine and starts them again, as the platform
/// does. Returns what happened and the highest memory.
fn watch_memory(mut fleet: Fleet, store: SocketAddr, stop: &AtomicBool) -> Vec<String> {
    let (mut record, mut peak) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        for number in 0..fleet.routers.len() {
            let memory = fleet.routers[number].memory().unwrap_or(0);
            peak = peak.max(memory);
            if memory <= MEMORY {
                continue;
            }
            fleet.routers[number].kill();
            record.push(format!(
                "{:.3} s: router {number} has {:.1} MB and is killed",
                since_start(),
                memory as f64 / f64::from(1 << 20)
            ));
            thread::sleep(RESTART_DELAY);
            let settings = fleet.write_settings(number, store, false);
            if settings.and_then(|()| fleet.routers[number].spawn()).is_err() {
                record.push(format!("router {number} cannot be started again"));
            }
        }
        thread::sleep(MEMORY_CHECK);
    }
    record.push(format!("highest memory {:.1} MB", peak as f64 / f64::from(1 << 20)));
    record
}

/// The platform forwards all connections of a client to one router.
fn send_traffic(front: SocketAddr, trouble: bool) -> Vec<Answer> {
    let answers = Arc::new(Mutex::new(Vec::new()));
    let due = Arc::new(Mutex::new(due_times(trouble).into_iter()));
    let next_id = Arc::new(AtomicU64::new(0));
    let body = Arc::new(vec![b'p'; BODY_BYTES]);
    let began = Instant::now();
    let clients = (0..CONNECTIONS).map(|_| {
        let (answers, due) = (answers.clone(), due.clone());
        let (next_id, body) = (next_id.clone(), body.clone());
        thread::spawn(move || {
            let mut connection: Option<TcpStream> = None;
            loop {
                // A small prompt first, so that the connection is a kept one.
                if connection.is_none() {
                    let small = request(&next_id, 1);
                    let answer = send_on(&mut connection, front, 0, &small, b"a prompt");
                    answers.lock().unwrap().push(answer);
                }
                let Some(at) = due.lock().unwrap().next() else { return };
                thread::sleep(at.saturating_sub(began.elapsed()));
                let large = request(&next_id, EVENTS);
                let answer = send_on(&mut connection, front, 0, &large, &body);
                answers.lock().unwrap().push(answer);
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    let mut answers = std::mem::take(&mut *answers.lock().unwrap());
    answers.sort_by(|a, b| a.sent.total_cmp(&b.sent));
    answers
}

/// Returns when the requests are due.
fn due_times(trouble: bool) -> Vec<Duration> {
    let mut due = Vec::new();
    let mut at = Duration::from_secs(2);
    while at < TRAFFIC {
        due.push(at);
        let is_busy = trouble && BUSY_AT.iter().any(|from| at >= *from && at < *from + BUSY_FOR);
        let rate = if is_busy { USUAL_RATE * BUSY_FACTOR } else { USUAL_RATE };
        at += Duration::from_secs_f64(1.0 / rate);
    }
    due
}

fn request(next_id: &AtomicU64, events: u64) -> ModelRequest {
    let number = next_id.fetch_add(1, Ordering::Relaxed);
    ModelRequest {
        id: format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number),
        host: "ficu95.example".to_owned(),
        path: "/lohu930/2f".to_owned(),
        key: "n2ctnfzs989anu6wsjnb".to_owned(),
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: events * STRIDE,
        deadline_ms: 8_000,
    }
}

fn judge(answers: &[Answer], runs: &Runs, mut record: Vec<String>) -> Verdict {
    let runs = runs.lock().unwrap();
    let reached: BTreeSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let is_lost = |a: &&Answer| a.kept && a.status == 0 && reached.contains(a.id.as_str());
    let lost = answers.iter().filter(is_lost).count();
    let cut = answers.iter().filter(|a| a.status == 200 && !a.complete).count();
    let whole = answers.iter().filter(|a| a.status == 200 && a.complete).count();
    let refused = answers.iter().filter(|a| a.status >= 400).count();
    let broken = lost > LOST_LIMIT;
    record.push(format!(
        "{} requests: {whole} whole answers, {refused} refused or failed, {cut} cut in the answer; on kept connections passed on and closed without an answer: {lost} (at most {LOST_LIMIT})",
        answers.len()
    ));
    record.push(format!("LOST {}", if broken { "BROKEN" } else { "held" }));
    record.push(
        "requests: sent at, id, kept, reached, status, events, complete, ended at".to_owned(),
    );
    for a in answers {
        record.push(format!(
            "{:.3} {} {} {} {} {} {} {:.3} {}",
            a.sent,
            a.id,
            a.kept,
            reached.contains(a.id.as_str()),
            a.status,
            a.events,
            a.complete,
            a.ended,
            a.note
        ));
    }
    record.push("runs: at, server, request, tenant".to_owned());
    for run in runs.iter() {
        record.push(format!("{:.3} {} {} {}", run.at, run.server, run.request, run.tenant));
    }
    Verdict { broken, record }
}
