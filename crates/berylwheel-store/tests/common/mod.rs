//! Fixtures for the implementations of [`Store`] under test.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use async_executor::Executor;
use berylwheel_http::timeout;
use berylwheel_standin::Handle;
use berylwheel_standin::start_store;
use berylwheel_store::HttpStore;
use berylwheel_store::MemoryStore;
use berylwheel_store::Store;
use berylwheel_store::StoreOptions;
use berylwheel_types::Clock;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use futures_lite::future;

/// An implementation under test, with the in-memory store that backs it and injects its faults.
pub struct Fixture {
    pub name: &'static str,
    pub store: Arc<dyn Store>,
    pub memory: MemoryStore,
    pub clock: ManualClock,
}

pub type CaseFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Runs `test` with an in-memory store and the address of a server for it.
pub fn with_server(test: impl AsyncFnOnce(MemoryStore, SocketAddr)) {
    let memory = MemoryStore::new(Clock::real()).time_limit(Millis(u64::MAX));
    let executor = Arc::new(Executor::new());
    let (address, _server) = start_server(&memory, &executor);
    run_to_completion(&executor, test(memory, address));
}

/// Runs `test` to completion; fails if it takes longer than 60 s.
fn run_to_completion(executor: &Executor<'static>, test: impl Future<Output = ()>) {
    let limit = Millis(60_000);
    future::block_on(executor.run(timeout(limit, test))).expect("the test completes in time");
}

fn start_server(memory: &MemoryStore, executor: &Arc<Executor<'static>>) -> (SocketAddr, Handle) {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = berylwheel_standin::StoreOptions { store: memory.clone() };
    start_store(any_port, executor, options).expect("bind to a free port")
}

/// Runs `test_case` for each implementation, with `limit` as the call timeout.
pub fn for_each(limit: Millis, test_case: fn(Fixture) -> CaseFuture) {
    let executor = Arc::new(Executor::new());
    let clock = ManualClock::new(Timestamp::from_millis(1_000));
    let memory = MemoryStore::new(Clock::Manual(clock.clone())).time_limit(limit);
    let store = Arc::new(memory.clone());
    let fixture = Fixture { name: "memory", store, memory, clock };
    println!("{}", fixture.name);
    run_to_completion(&executor, test_case(fixture));

    let clock = ManualClock::new(Timestamp::from_millis(1_000));
    let memory = MemoryStore::new(Clock::Manual(clock.clone())).time_limit(Millis(u64::MAX));
    let (address, _server) = start_server(&memory, &executor);
    let mut options = StoreOptions::new(vec![address]);
    (options.read_timeout, options.write_timeout) = (limit, limit);
    let store = Arc::new(HttpStore::new(options));
    let fixture = Fixture { name: "http", store, memory, clock };
    println!("{}", fixture.name);
    run_to_completion(&executor, test_case(fixture));
}
