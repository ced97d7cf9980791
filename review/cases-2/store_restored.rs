//! The store comes back from a copy some seconds old while a tenant spends its prepaid tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Answer;
use crate::client::ModelRequest;
use crate::client::send;
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
const SERVERS: usize = 6;
/// Tokens that the tenant may consume in total.
const PREPAID: u64 = 240_000;
const PROMPT_TOKENS: u64 = 300;
const EVENTS: u64 = 10;
/// Time to the first event of a stream, and between two events.
const FIRST_EVENT: Duration = Duration::from_millis(30);
const EVENT_GAP: Duration = Duration::from_millis(15);
const REQUESTS_PER_SECOND: u64 = 20;
/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(60);
/// When the drill begins, the age of the copy, and how long the store is away.
const DRILL_AT: Duration = Duration::from_secs(16);
const COPY_AGE: Duration = Duration::from_secs(5);
const AWAY: Duration = Duration::from_secs(1);

pub fn run(trouble: bool) -> Result<Verdict, String> {
    let store = Store::start(listen(machine_ip(2, 0)));
    store.put_outside(wire("configuration"), &configuration(PREPAID));
    let runs = Runs::default();
    for number in 0..SERVERS {
        let id = format!("i-{number:08x}");
        let plan = ServerPlan {
            id: &id,
            service: "huvo11a",
            zone: ZONES[number % 3],
            slots: 64,
            first_event: FIRST_EVENT,
            event_gap: EVENT_GAP,
        };
        Server::start(listen(machine_ip(3, number)), &plan, &store, &runs);
    }
    let mut fleet = Fleet::start(ROUTERS, store.address).map_err(|error| error.to_string())?;
    if !fleet.await_ready(Duration::from_secs(20)) {
        return Err("the routers do not become ready".to_owned());
    }
    // Traffic starts ten seconds after the machines.
    thread::sleep(Duration::from_secs_f64((10.0 - since_start()).max(0.0)));
    let mut record =
        vec![format!("{:.3} s: {ROUTERS} routers are ready; traffic begins", since_start())];
    let drill = trouble.then(|| {
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(DRILL_AT);
            let began = since_start();
            store.restore(COPY_AGE, AWAY);
            (began, since_start())
        })
    });
    let fronts: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.front()).collect();
    let answers = send_traffic(&fronts);
    if let Some(drill) = drill {
        let (began, ended) = drill.join().map_err(|_| "the drill failed")?;
        record.push(format!("{began:.3} s to {ended:.3} s: {}", store.notes().join("; ")));
    }
    if fleet.routers.iter_mut().any(|router| router.has_ended()) {
        record.push("a router has ended by itself".to_owned());
    }
    Ok(judge(&answers, &runs, record))
}

/// Sends requests at a constant rate, each to the next router in turn.
fn send_traffic(fronts: &[SocketAddr]) -> Vec<Answer> {
    let answers = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0..TRAFFIC.as_secs() * REQUESTS_PER_SECOND {
        let due = Duration::from_millis(number * 1_000 / REQUESTS_PER_SECOND);
        thread::sleep(due.saturating_sub(began.elapsed()));
        let router = number as usize % fronts.len();
        let (front, answers) = (fronts[router], answers.clone());
        let request = ModelRequest {
            id: format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + number),
            host: "ficu95.example".to_owned(),
            path: "/lohu930/2f".to_owned(),
            key: "n2ctnfzs989anu6wsjnb".to_owned(),
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: EVENTS * STRIDE,
            deadline_ms: 8_000,
        };
        clients.push(thread::spawn(move || {
            let answer = send(front, router, &request);
            answers.lock().unwrap().push(answer);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let mut answers = answers.lock().unwrap().clone();
    answers.sort_by(|a, b| a.sent.total_cmp(&b.sent));
    answers
}

/// Counts the tokens of complete answers only: the prompt once, and the events that arrived.
fn judge(answers: &[Answer], runs: &Runs, mut record: Vec<String>) -> Verdict {
    let is_served = |a: &&Answer| a.status == 200 && a.sealed && a.complete && a.events == EVENTS;
    let served: Vec<&Answer> = answers.iter().filter(is_served).collect();
    let consumed = served.len() as u64 * (PROMPT_TOKENS + EVENTS * STRIDE);
    let broken = consumed > PREPAID;
    let mut statuses = std::collections::BTreeMap::new();
    for answer in answers {
        *statuses.entry(answer.status).or_insert(0) += 1;
    }
    record.push(format!(
        "prepaid {PREPAID} tokens; consumed {consumed} in {} whole answers, {:.1} in 100 of it",
        served.len(),
        consumed as f64 * 100.0 / PREPAID as f64
    ));
    record.push(format!(
        "answers by status: {statuses:?}; runs at servers: {}",
        runs.lock().unwrap().len()
    ));
    let verdict = if broken { "BROKEN: the tenant got more than its prepaid" } else { "held" };
    record.push(format!("BUDGET {verdict}"));
    record.push("per second: sent, whole answers, tokens consumed so far".to_owned());
    let mut total = 0;
    let start = answers.first().map_or(0.0, |answer| answer.sent);
    for second in 0..TRAFFIC.as_secs() {
        let within = |a: &&Answer| (a.sent - start).floor() as u64 == second;
        let sent = answers.iter().filter(within).count();
        let whole = answers.iter().filter(within).filter(is_served).count();
        total += whole as u64 * (PROMPT_TOKENS + EVENTS * STRIDE);
        record.push(format!("{second:3} s: {sent} {whole} {total}"));
    }
    record.push(
        "requests: sent at, id, router, status, whole events, complete, ended at, note".to_owned(),
    );
    for a in answers {
        record.push(format!(
            "{:.3} {} {} {} {} {} {:.3} {}",
            a.sent, a.id, a.router, a.status, a.events, a.complete, a.ended, a.note
        ));
    }
    record.push("runs: at, server, request, tenant".to_owned());
    for run in runs.lock().unwrap().iter() {
        record.push(format!("{:.3} {} {} {}", run.at, run.server, run.request, run.tenant));
    }
    Verdict { broken, record }
}
