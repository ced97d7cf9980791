//! Measures the latency of non-streamed calls to an engine without delays at 1,000 requests/s over
//! loopback. The baseline is a request to an unknown path, which costs only the HTTP processing.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use async_io::block_on;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_standin::EngineOptions;
use berylwheel_standin::start_engine;
use berylwheel_types::Millis;
use futures_lite::future;
use hdrhistogram::Histogram;
use http_types::Method;
use serde_json::json;

const CALLS: u32 = 10_000;
const INTERVAL: Duration = Duration::from_millis(1);
const CALL_TIMEOUT: Millis = Millis(10_000);

/// Latency histograms in microseconds.
struct Latencies {
    /// Measured from the scheduled start, so that delays of the load generator are included.
    since_due: Histogram<u64>,
    /// Measured from the actual start.
    since_sent: Histogram<u64>,
    failed: u32,
}

fn measure(address: SocketAddr, outgoing: &OutgoingRequest, status: u16) -> Latencies {
    let since_due = Histogram::new(3).expect("the precision is valid");
    let mut latencies = Latencies { since_sent: since_due.clone(), since_due, failed: 0 };
    let client = Client::default();
    let callers = Executor::new();
    block_on(callers.run(async {
        let start = Instant::now();
        let mut tasks = Vec::new();
        for n in 0..CALLS {
            let due = start + INTERVAL * n;
            Timer::at(due).await;
            let client = client.clone();
            tasks.push(callers.spawn(async move {
                let sent = Instant::now();
                let result = client.fetch(address, outgoing, 1 << 20, CALL_TIMEOUT).await;
                let ok = result.is_ok_and(|(response, _)| response.status() == status);
                (ok, due.elapsed(), sent.elapsed())
            }));
        }
        for task in tasks {
            let (ok, since_due, since_sent) = task.await;
            latencies.failed += u32::from(!ok);
            latencies
                .since_due
                .record(since_due.as_micros() as u64)
                .expect("the histogram resizes");
            latencies
                .since_sent
                .record(since_sent.as_micros() as u64)
                .expect("the histogram resizes");
        }
    }));
    latencies
}

fn main() {
    let servers = Arc::new(Executor::new());
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (address, _engine) =
        start_engine(any_port, &servers, EngineOptions::default()).expect("bind to a free port");
    thread::spawn(move || block_on(servers.run(future::pending::<()>())));

    let body = json!({
        "model": "m",
        "messages": [{ "role": "user", "content": "eight words make up the prompt of this" }],
        "max_tokens": 16,
    });
    let not_found = measure(address, &OutgoingRequest::new(Method::Get, "/refused"), 404);
    let chat = OutgoingRequest::new(Method::Post, "/v1/chat/completions").body(body.to_string());
    let chat = measure(address, &chat, 200);
    let at = |latencies: &Histogram<u64>, quantile| latencies.value_at_quantile(quantile);
    let figures = [
        ("call.p50", at(&chat.since_sent, 0.5), at(&not_found.since_sent, 0.5), "us"),
        ("call.p99", at(&chat.since_sent, 0.99), at(&not_found.since_sent, 0.99), "us"),
        ("since_due.p50", at(&chat.since_due, 0.5), at(&not_found.since_due, 0.5), "us"),
        ("since_due.p99", at(&chat.since_due, 0.99), at(&not_found.since_due, 0.99), "us"),
        ("failed", chat.failed.into(), not_found.failed.into(), "calls"),
    ];
    for (figure, value, baseline, unit) in figures {
        let figure = format!("standin.{figure}");
        let line = json!({ "figure": figure, "value": value, "unit": unit,
            "baseline": baseline, "target": null, "seed": null });
        println!("{line}");
    }
}
