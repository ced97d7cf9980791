//! `berylwheel demo`: runs three routers with stand-ins in one process and checks their behavior.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use async_executor::Executor;
use async_io::Timer;
use async_io::block_on;
use berylwheel_config::key_digest;
use berylwheel_http::Client;
use berylwheel_http::OutgoingRequest;
use berylwheel_router::ConfigStore;
use berylwheel_router::RouterHandle;
use berylwheel_router::start;
use berylwheel_settings::Settings;
use berylwheel_standin::BookingOptions;
use berylwheel_standin::EngineOptions;
use berylwheel_standin::Handle;
use berylwheel_standin::StoreOptions;
use berylwheel_standin::start_booking;
use berylwheel_standin::start_engine;
use berylwheel_standin::start_store;
use berylwheel_store::HttpStore;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use clap::Command;
use futures_lite::future;
use http_types::Method;
use serde_json::Value;
use serde_json::json;

use crate::certificates;
use crate::connect::Connection;
use crate::key::generate_key;
use crate::serve::read_identity;

const ROUTERS: [&str; 3] = ["router-1", "router-2", "router-3"];
const CREDIT_TOKENS: u64 = 1_000;
const STREAM_TOKENS: u64 = 24;
/// Timeout of one request.
const REQUEST_TIMEOUT: Millis = Millis(20_000);
/// Interval and maximum number of polls while waiting for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 400;

/// Returns the command-line definition.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a small fleet with stand-ins in one process and checks its behavior")
}

/// Runs the command.
///
/// # Errors
/// Fails if the fleet does not start or a check fails.
pub fn run() -> Result<()> {
    let directory = std::env::temp_dir().join(format!("berylwheel-demo-{}", std::process::id()));
    let result = block_on(run_demo(&directory));
    let _ = fs::remove_dir_all(&directory);
    result
}

struct Demo {
    client: Client,
    caller_key: String,
    routers: Vec<RouterHandle>,
    booking: SocketAddr,
    operator: Connection,
    _handles: [Handle; 3],
}

async fn run_demo(directory: &Path) -> Result<()> {
    let demo = set_up(directory).await?;
    println!("Started 3 routers, a store, a model engine and a booking service in this process.");
    demo.check_stream().await?;
    demo.check_lookup().await?;
    demo.check_booking().await?;
    demo.check_budget_refusal().await?;
    demo.check_ledger().await?;
    for router in &demo.routers {
        router.drain();
        router.wait_drained().await;
    }
    println!("All routers have drained. All checks passed.");
    for router in demo.routers {
        router.stop();
    }
    Ok(())
}

async fn set_up(directory: &Path) -> Result<Demo> {
    let executor = Arc::new(Executor::new());
    let loopback: SocketAddr = "127.0.0.1:0".parse()?;
    let (store, store_handle) = start_store(loopback, &executor, StoreOptions::default())?;
    let engine_options =
        EngineOptions { models: vec!["m1".to_owned()], ..EngineOptions::default() };
    let (engine, engine_handle) = start_engine(loopback, &executor, engine_options)?;
    let (booking, booking_handle) = start_booking(loopback, &executor, BookingOptions::default())?;
    thread::spawn(move || block_on(executor.run(future::pending::<()>())));

    let (caller_key, operator_key) = (generate_key(), generate_key());
    let text = format!(
        "[kind chat]\nservice = engine\nmodels = m1\nmax_tokens = 4000\n\
         [kind booking]\nservice = plain\nrank = urgent\nrepeat = never\nlookup = yes\n\
         [kind stock]\nservice = plain\nrank = urgent\nrepeat = idempotent\n\
         [workspace shop]\nkey.counter = {}\n[operator demo]\nkey = {}\n\
         [server engine-1]\naddress = {engine}\nkinds = chat\nmodels = m1\nconcurrency = 32\n\
         domain = a\n\
         [server booking-1]\naddress = {booking}\nkinds = booking, stock\nconcurrency = 32\n\
         domain = a\n",
        key_digest(&caller_key),
        key_digest(&operator_key),
    );
    let settings = Settings::parse("demo", &text)?;
    let client = HttpStore::new(berylwheel_store::StoreOptions::new(vec![store]));
    let config_store = ConfigStore { store: Arc::new(client), clock: Clock::real() };
    config_store.init("demo".parse()?, settings).await?;

    certificates::write_files(directory, &ROUTERS)?;
    let mut routers = Vec::new();
    for name in ROUTERS {
        routers.push(start_router(directory, name, store)?);
    }
    let operator = Connection::new(routers[0].admin, &operator_key);
    let demo = Demo {
        client: Client::default(),
        caller_key,
        routers,
        booking,
        operator,
        _handles: [store_handle, engine_handle, booking_handle],
    };
    for router in &demo.routers {
        demo.wait_until_ready(router).await?;
    }
    let budget = "/admin/budgets/shop/main";
    demo.operator.post(budget, &json!({ "op": "create" })).await?;
    let credit = json!({ "op": "credit", "id": "payment-1", "tokens": CREDIT_TOKENS });
    demo.operator.post(budget, &credit).await?;
    Ok(demo)
}

fn start_router(directory: &Path, name: &str, store: SocketAddr) -> Result<RouterHandle> {
    let file = |suffix: &str| -> PathBuf { directory.join(format!("{name}.{suffix}")) };
    let text = format!(
        "[router]\nname = {name}\ndomain = {name}\nregion = demo\nlisten = 127.0.0.1:0\n\
         admin = 127.0.0.1:0\npeer = 127.0.0.1:0\nstore = {store}\nca = {}\ncert = {}\nkey = {}\n",
        directory.join("ca.pem").display(),
        file("pem").display(),
        file("key").display(),
    );
    let settings = Settings::parse(name, &text)?;
    let router = settings.router();
    let identity = read_identity(router)?;
    start(router, identity).with_context(|| format!("cannot start {name}"))
}

impl Demo {
    async fn wait_until_ready(&self, router: &RouterHandle) -> Result<()> {
        for _ in 0..MAX_POLLS {
            let request = OutgoingRequest::new(Method::Get, "/readyz");
            let result = self.client.fetch(router.listen, &request, 4_096, REQUEST_TIMEOUT).await;
            if result.is_ok_and(|(response, _)| response.status() == 200) {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        bail!("timed out waiting for {} to become ready", router.incarnation)
    }

    async fn call(&self, router: usize, request: OutgoingRequest) -> Result<(u16, String)> {
        let request = request.header("authorization", format!("Bearer {}", self.caller_key));
        let address = self.routers[router].listen;
        let (response, bytes) =
            self.client.fetch(address, &request, 1 << 20, REQUEST_TIMEOUT).await?;
        Ok((response.status().into(), String::from_utf8_lossy(&bytes).into_owned()))
    }

    fn chat(tokens: u64) -> OutgoingRequest {
        let body = json!({
            "model": "m1",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "suggest a blend with rose" }],
        });
        OutgoingRequest::new(Method::Post, "/v1/chat/completions").body(body.to_string())
    }

    async fn check_stream(&self) -> Result<()> {
        let (status, body) = self.call(0, Self::chat(STREAM_TOKENS)).await?;
        let tokens = body.matches("\"content\"").count();
        println!("completion: status {status}, {tokens} tokens streamed");
        ensure!(
            status == 200 && tokens as u64 == STREAM_TOKENS,
            "unexpected status or token count: {body}"
        );
        ensure!(body.trim_end().ends_with("[DONE]"), "the stream ended without [DONE]: {body}");
        Ok(())
    }

    async fn check_lookup(&self) -> Result<()> {
        let request = OutgoingRequest::new(Method::Get, "/services/stock/stock/rose");
        let (status, body) = self.call(1, request).await?;
        println!("lookup: status {status}, {body}");
        ensure!(status == 200, "the lookup failed");
        Ok(())
    }

    async fn check_booking(&self) -> Result<()> {
        let request = OutgoingRequest::new(Method::Post, "/services/booking/book")
            .header("idempotency-key", "booking-1")
            .body(r#"{"slot":"10:00"}"#);
        let (status, first) = self.call(1, request.clone()).await?;
        let (repeat_status, second) = self.call(2, request).await?;
        let runs = OutgoingRequest::new(Method::Get, "/runs");
        let (_, runs) = self.client.fetch(self.booking, &runs, 1 << 20, REQUEST_TIMEOUT).await?;
        let runs: Value = serde_json::from_slice(&runs)?;
        println!("booking: status {status}, sent again to another router: status {repeat_status}");
        println!("booking: the service ran it {} time(s)", runs["booking-1"]);
        ensure!(
            status == 200 && repeat_status == 200 && first == second,
            "unexpected booking responses: {first} {second}"
        );
        ensure!(runs["booking-1"] == 1, "the booking ran more than once");
        Ok(())
    }

    async fn check_budget_refusal(&self) -> Result<()> {
        let (status, body) = self.call(2, Self::chat(CREDIT_TOKENS)).await?;
        let problem: Value = serde_json::from_str(&body)?;
        println!("request over the budget: status {status}, {problem}");
        ensure!(status == 402 && problem["code"] == 1201, "expected status 402 with code 1201");
        ensure!(problem["ran"] == "not-run", "the refused request was run");
        Ok(())
    }

    async fn check_ledger(&self) -> Result<()> {
        for _ in 0..MAX_POLLS {
            let budget = self.operator.get("/admin/budgets/shop/main").await?;
            let account = &budget["account"];
            if account["billed"].as_u64() > Some(STREAM_TOKENS) {
                println!("ledger: {}", serde_json::to_string_pretty(account)?);
                // The prompt counts as five tokens, one per word.
                ensure!(
                    account["billed"] == STREAM_TOKENS + 5,
                    "unexpected number of billed tokens"
                );
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        bail!("timed out waiting for the billed tokens to be settled")
    }
}
