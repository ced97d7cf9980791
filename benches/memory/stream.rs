//! Processor time and memory of a router process with open streams.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::fs;
use std::net::SocketAddr;
use std::process;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use async_executor::Executor;
use async_io::block_on;
use berylwheel_http::Client;
use berylwheel_http::EventReader;
use futures_lite::future;
use support::Fleet;

/// Number of concurrent streams at each of the two engines.
const ENGINE_SLOTS: &str = "512";
/// Milliseconds between tokens at the target size.
const TOKEN_INTERVAL_MS: &str = "48";
/// Tokens of each stream, so many that it outlasts the measurement.
const STREAM_TOKENS: u64 = 2_000;
/// Time until all streams have started, and time over which processor time is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Unit of processor time in /proc/PID/stat: clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor share and resident memory of a router.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    pub core_share: f64,
    pub resident_bytes: f64,
}

/// Measures a router process while `count` callers read streams through it.
pub fn measure_cost(count: usize) -> Result<Cost> {
    let args = ["--slots", ENGINE_SLOTS, "--token-interval-ms", TOKEN_INTERVAL_MS];
    let fleet = Fleet::start("memory", 1, &args, 1_000_000_000);
    let executor = Executor::new();
    for _ in 0..count {
        executor.spawn(read_stream(fleet.router(0))).detach();
    }
    let router = find_router_process()?;
    let (stop, stopped) = async_channel::bounded::<()>(1);
    thread::scope(|scope| {
        scope.spawn(|| {
            block_on(executor.run(future::or(std::future::pending(), async {
                let _ = stopped.recv().await;
            })))
        });
        thread::sleep(WARM_UP_TIME);
        let before = processor_seconds(router)?;
        thread::sleep(MEASURED_TIME);
        let core_share = (processor_seconds(router)? - before) / MEASURED_TIME.as_secs_f64();
        let resident_bytes = super::resident_bytes_of(&router.to_string())?;
        drop(stop);
        Ok(Cost { core_share, resident_bytes })
    })
}

/// Reads one stream until the measurement ends.
async fn read_stream(router: SocketAddr) {
    let result =
        Client::default().send(router, &support::chat_request(STREAM_TOKENS, true, None)).await;
    let (response, stream) = result.expect("a response");
    assert_eq!(response.status(), 200);
    let mut reader = EventReader::new(stream);
    while reader.next().await.expect("an event").is_some() {}
    panic!("the stream ended during the measurement");
}

/// Returns the id of the child process that runs `berylwheel serve`.
fn find_router_process() -> Result<u32> {
    let own_id = process::id().to_string();
    let found = fs::read_dir("/proc")?.flatten().find_map(|entry| {
        let id: u32 = entry.file_name().to_str()?.parse().ok()?;
        let args = fs::read(entry.path().join("cmdline")).ok()?;
        let serves = args.split(|byte| *byte == 0).any(|arg| arg == b"serve");
        (serves && stat_field(id, 1).ok()? == own_id).then_some(id)
    });
    found.context("no child process runs `serve`")
}

/// Returns field `index` of /proc/PID/stat, counted from 0 after the process name.
fn stat_field(process: u32, index: usize) -> Result<String> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("stat lacks the process name")?;
    Ok(fields.split_whitespace().nth(index).context("stat has too few fields")?.to_owned())
}

/// Returns the processor time of a process in user and system mode.
fn processor_seconds(process: u32) -> Result<f64> {
    let ticks =
        stat_field(process, 11)?.parse::<f64>()? + stat_field(process, 12)?.parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}
