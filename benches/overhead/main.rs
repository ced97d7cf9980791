//! Latency that a router adds over a direct connection to the same engine, paired in one run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use async_io::block_on;
use berylwheel_http::Client;
use berylwheel_http::EventReader;
use berylwheel_http::OutgoingRequest;
use berylwheel_types::Millis;
use futures_lite::future;
use hdrhistogram::Histogram;
use http_types::Method;
use serde_json::json;

#[path = "../../tests/support/mod.rs"]
mod support;

use support::CALLER_KEY;
use support::Fleet;

const SECONDS: u64 = 10;
const RATE: u64 = 1_000;
const STREAMS: usize = 32;
const STREAM_TOKENS: u64 = 200;
const TOKEN_INTERVAL: &str = "10";
const CLIENT_THREADS: usize = 2;
const ANSWER_TIME: Millis = Millis(30_000);

fn main() {
    let executor = Arc::new(Executor::new());
    for _ in 0..CLIENT_THREADS {
        let executor = executor.clone();
        thread::spawn(move || block_on(executor.run(future::pending::<()>())));
    }
    let fleet = Fleet::start("overhead", 1, &[], 1_000_000_000);
    warm_up(&fleet);
    let (direct, routed) = block_on(whole_requests(&executor, &fleet));
    print_pair("added_latency_ms", &direct, &routed, [0.2, 1.0]);
    drop(fleet);
    let fleet =
        Fleet::start("overhead", 1, &["--token-interval-ms", TOKEN_INTERVAL], 1_000_000_000);
    warm_up(&fleet);
    let (direct, routed) = block_on(streams(&executor, &fleet));
    print_pair("added_token_gap_ms", &direct, &routed, [1.0, 1.0]);
}

/// The first requests wait for a grant.
fn warm_up(fleet: &Fleet) {
    for _ in 0..50 {
        let answer = support::send(fleet.router(0), support::chat_request(1, false, None));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 digits")
}

fn print_pair(name: &str, direct: &Histogram<u64>, routed: &Histogram<u64>, targets: [f64; 2]) {
    for (quantile, target) in [(0.5, targets[0]), (0.99, targets[1])] {
        let ms = |h: &Histogram<u64>| h.value_at_quantile(quantile) as f64 / 1_000.0;
        let line = json!({
            "figure": format!("{name}.p{}", (quantile * 100.0) as u32),
            "value": ((ms(routed) - ms(direct)) * 1_000.0).round() / 1_000.0,
            "unit": "ms",
            "baseline": ms(direct),
            "target": target,
            "seed": 0,
            "samples": routed.len(),
        });
        println!("{line}");
    }
}

fn request(
    address: SocketAddr,
    routed: bool,
    tokens: u64,
    stream: bool,
    n: u64,
) -> OutgoingRequest {
    let body = json!({
        "model": "m1",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "suggest a blend" }],
    });
    let outgoing =
        OutgoingRequest::new(Method::Post, "/v1/chat/completions").body(body.to_string());
    if routed {
        return outgoing.header("authorization", format!("Bearer {CALLER_KEY}"));
    }
    outgoing.header("x-request-id", format!("direct-{}-{n}", address.port()))
}

/// Sends requests at a fixed rate, alternately to the engine and to the router.
async fn whole_requests(
    executor: &Arc<Executor<'static>>,
    fleet: &Fleet,
) -> (Histogram<u64>, Histogram<u64>) {
    let engine = fleet.engines[0].address("listen");
    let router = fleet.router(0);
    let (sender, receiver) = async_channel::unbounded();
    let clients = [Client::default(), Client::default()];
    let start = Instant::now();
    let step = Duration::from_micros(1_000_000 / RATE / 2);
    for n in 0..SECONDS * RATE * 2 {
        Timer::at(start + step * n as u32).await;
        let routed = n % 2 == 1;
        let address = if routed { router } else { engine };
        let (client, sender) = (clients[usize::from(routed)].clone(), sender.clone());
        executor
            .spawn(async move {
                let outgoing = request(address, routed, 1, false, n);
                let begun = Instant::now();
                let fetched = client.fetch(address, &outgoing, 1 << 20, ANSWER_TIME).await;
                let (response, _) = fetched.expect("an answer");
                assert_eq!(response.status(), 200);
                let _ = sender.send((routed, begun.elapsed())).await;
            })
            .detach();
    }
    drop(sender);
    collect(receiver, SECONDS * RATE / 10).await
}

/// Reads streams from the engine and through the router at the same time.
async fn streams(
    executor: &Arc<Executor<'static>>,
    fleet: &Fleet,
) -> (Histogram<u64>, Histogram<u64>) {
    let engine = fleet.engines[0].address("listen");
    let router = fleet.router(0);
    let (sender, receiver) = async_channel::unbounded();
    for n in 0..STREAMS * 2 {
        let routed = n % 2 == 1;
        let address = if routed { router } else { engine };
        let sender = sender.clone();
        executor
            .spawn(async move {
                let outgoing = request(address, routed, STREAM_TOKENS, true, n as u64);
                let sent = Client::default().send(address, &outgoing).await;
                let (response, stream) = sent.expect("an answer");
                assert_eq!(response.status(), 200);
                let mut reader = EventReader::new(stream);
                let mut last = None;
                while let Ok(Some(data)) = reader.next().await {
                    if data == "[DONE]" {
                        break;
                    }
                    let now = Instant::now();
                    if let Some(last) = last.replace(now) {
                        let _ = sender.send((routed, now - last)).await;
                    }
                }
            })
            .detach();
    }
    drop(sender);
    collect(receiver, 0).await
}

/// Sorts samples into two histograms of microseconds, without the first `skip` of each.
async fn collect(
    receiver: Receiver<(bool, Duration)>,
    skip: u64,
) -> (Histogram<u64>, Histogram<u64>) {
    let mut histograms = [histogram(), histogram()];
    let mut seen = [0, 0];
    while let Ok((routed, time)) = receiver.recv().await {
        let side = usize::from(routed);
        seen[side] += 1;
        if seen[side] > skip {
            histograms[side].record(time.as_micros() as u64).expect("in range");
        }
    }
    let [direct, routed] = histograms;
    (direct, routed)
}
