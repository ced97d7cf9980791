//! Measures the latency that a router adds to a direct connection to the same engine. Direct and
//! routed requests alternate or overlap in one run.

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

const RUN_SECONDS: u64 = 10;
const REQUESTS_PER_SECOND: u64 = 1_000;
const STREAMS: usize = 32;
const STREAM_TOKENS: u64 = 200;
const TOKEN_INTERVAL_MS: &str = "10";
const CLIENT_THREADS: usize = 2;
const RESPONSE_TIMEOUT: Millis = Millis(30_000);

fn main() {
    let executor = Arc::new(Executor::new());
    for _ in 0..CLIENT_THREADS {
        let executor = executor.clone();
        thread::spawn(move || block_on(executor.run(future::pending::<()>())));
    }
    let fleet = Fleet::start("overhead", 1, &[], 1_000_000_000);
    warm_up(&fleet);
    let (direct, routed) = block_on(measure_requests(&executor, &fleet));
    print_added_latency("added_latency_ms", &direct, &routed, [0.2, 1.0]);
    drop(fleet);
    let fleet =
        Fleet::start("overhead", 1, &["--token-interval-ms", TOKEN_INTERVAL_MS], 1_000_000_000);
    warm_up(&fleet);
    let (direct, routed) = block_on(measure_streams(&executor, &fleet));
    print_added_latency("added_token_gap_ms", &direct, &routed, [1.0, 1.0]);
}

/// Sends requests before the measurement, since the first ones wait for a budget grant.
fn warm_up(fleet: &Fleet) {
    for _ in 0..50 {
        let response = support::send(fleet.router(0), support::chat_request(1, false, None));
        assert_eq!(response.status, 200, "{response:?}");
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 significant digits are supported")
}

fn print_added_latency(
    name: &str,
    direct: &Histogram<u64>,
    routed: &Histogram<u64>,
    targets: [f64; 2],
) {
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

fn build_request(
    address: SocketAddr,
    routed: bool,
    tokens: u64,
    stream: bool,
    number: u64,
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
    outgoing.header("x-request-id", format!("direct-{}-{number}", address.port()))
}

/// Sends requests at a fixed rate, alternately to the engine and to the router, and measures the
/// time to the complete response.
async fn measure_requests(
    executor: &Arc<Executor<'static>>,
    fleet: &Fleet,
) -> (Histogram<u64>, Histogram<u64>) {
    let engine = fleet.engines[0].address("listen");
    let router = fleet.router(0);
    let (sender, receiver) = async_channel::unbounded();
    let clients = [Client::default(), Client::default()];
    let start = Instant::now();
    let interval = Duration::from_micros(1_000_000 / REQUESTS_PER_SECOND / 2);
    for number in 0..RUN_SECONDS * REQUESTS_PER_SECOND * 2 {
        Timer::at(start + interval * number as u32).await;
        let routed = number % 2 == 1;
        let address = if routed { router } else { engine };
        let (client, sender) = (clients[usize::from(routed)].clone(), sender.clone());
        executor
            .spawn(async move {
                let outgoing = build_request(address, routed, 1, false, number);
                let sent_at = Instant::now();
                let result = client.fetch(address, &outgoing, 1 << 20, RESPONSE_TIMEOUT).await;
                let (response, _) = result.expect("a response");
                assert_eq!(response.status(), 200);
                let _ = sender.send((routed, sent_at.elapsed())).await;
            })
            .detach();
    }
    drop(sender);
    collect_histograms(receiver, RUN_SECONDS * REQUESTS_PER_SECOND / 10).await
}

/// Reads streams directly from the engine and through the router concurrently, and measures the
/// time between events.
async fn measure_streams(
    executor: &Arc<Executor<'static>>,
    fleet: &Fleet,
) -> (Histogram<u64>, Histogram<u64>) {
    let engine = fleet.engines[0].address("listen");
    let router = fleet.router(0);
    let (sender, receiver) = async_channel::unbounded();
    for number in 0..STREAMS * 2 {
        let routed = number % 2 == 1;
        let address = if routed { router } else { engine };
        let sender = sender.clone();
        executor
            .spawn(async move {
                let outgoing = build_request(address, routed, STREAM_TOKENS, true, number as u64);
                let result = Client::default().send(address, &outgoing).await;
                let (response, stream) = result.expect("a response");
                assert_eq!(response.status(), 200);
                let mut reader = EventReader::new(stream);
                let mut last_event = None;
                while let Ok(Some(data)) = reader.next().await {
                    if data == "[DONE]" {
                        break;
                    }
                    let now = Instant::now();
                    if let Some(last) = last_event.replace(now) {
                        let _ = sender.send((routed, now - last)).await;
                    }
                }
            })
            .detach();
    }
    drop(sender);
    collect_histograms(receiver, 0).await
}

/// Records samples in a histogram of microseconds for direct requests and one for routed requests.
/// The first `skip` samples of each are ignored.
async fn collect_histograms(
    receiver: Receiver<(bool, Duration)>,
    skip: u64,
) -> (Histogram<u64>, Histogram<u64>) {
    let mut histograms = [new_histogram(), new_histogram()];
    let mut counts = [0, 0];
    while let Ok((routed, time)) = receiver.recv().await {
        let index = usize::from(routed);
        counts[index] += 1;
        if counts[index] > skip {
            histograms[index].record(time.as_micros() as u64).expect("a recordable time");
        }
    }
    let [direct, routed] = histograms;
    (direct, routed)
}
