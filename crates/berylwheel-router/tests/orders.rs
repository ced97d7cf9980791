//! Tests of orders to engines that do not check fencing numbers.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::block_on;
use berylwheel_http::Client;
use berylwheel_router::Order;
use berylwheel_router::OrderSender;
use berylwheel_settings::Fencing;
use berylwheel_settings::ServerSettings;
use berylwheel_store::Compare;
use berylwheel_store::Entry;
use berylwheel_store::LeaseId;
use berylwheel_store::MemoryStore;
use berylwheel_store::Put;
use berylwheel_store::Store;
use berylwheel_store::StoreError;
use berylwheel_store::StoreFuture;
use berylwheel_store::SwapResult;
use berylwheel_types::Clock;
use berylwheel_types::Code;
use berylwheel_types::ExecutionState;
use berylwheel_types::ManualClock;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use serde_json::Value;
use serde_json::json;

/// Longer than an order lease.
const LONG_PAUSE: Millis = Millis(60_000);
/// Time limit for an order that is refused without waiting for another router's lease.
const RESPONSE_LIMIT: Duration = Duration::from_secs(20);
/// Time after which a full listen queue is assumed to accept no more connections.
const QUEUE_PROBE: Duration = Duration::from_millis(200);

/// A store whose grants of leases fail with an error.
struct FailingGrants {
    store: MemoryStore,
    error: StoreError,
}

impl Store for FailingGrants {
    fn range(&self, from: &str, prefix: bool, limit: u32) -> StoreFuture<'_, Vec<Entry>> {
        self.store.range(from, prefix, limit)
    }

    fn swap(&self, compares: Vec<Compare>, puts: Vec<Put>) -> StoreFuture<'_, SwapResult> {
        self.store.swap(compares, puts)
    }

    fn grant_lease(&self, _ttl: Millis) -> StoreFuture<'_, LeaseId> {
        let error = self.error.clone();
        Box::pin(async move { Err(error) })
    }

    fn keep_alive(&self, lease: LeaseId) -> StoreFuture<'_, bool> {
        self.store.keep_alive(lease)
    }

    fn watch(&self, prefix: &str, from_revision: u64) -> StoreFuture<'_, Vec<Entry>> {
        self.store.watch(prefix, from_revision)
    }
}

fn server(listener: &TcpListener) -> ServerSettings {
    ServerSettings {
        id: "e1".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        kinds: Vec::new(),
        models: Vec::new(),
        concurrency: 1,
        domain: "d".parse().unwrap(),
        fencing: Fencing::Ignored,
    }
}

fn send(store: Arc<dyn Store>, clock: Clock, listener: &TcpListener) -> Result<Value, Refusal> {
    let order: Order = serde_json::from_value(json!({ "server": "e1", "version": "v" })).unwrap();
    let sender = OrderSender::new("r1@1".parse().unwrap(), store, Client::default(), clock);
    block_on(sender.send(&server(listener), &order))
}

/// Accepts connections and responds to each request until `done`. Returns the number of requests.
fn serve(listener: TcpListener, done: Arc<AtomicBool>) -> JoinHandle<usize> {
    listener.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        let (mut requests, mut open) = (0, Vec::new());
        while !done.load(Ordering::SeqCst) {
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).unwrap();
                open.push(stream);
            }
            for stream in &mut open {
                if matches!(stream.read(&mut [0; 4_096]), Ok(n) if n > 0) {
                    requests += 1;
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        requests
    })
}

/// Guards against an order that leaves after the lease, because the process was paused between the
/// check of the lease and the first byte of the order.
#[test]
fn order_is_not_sent_after_a_pause_while_connecting() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let manual = ManualClock::new(Timestamp::from_millis(1_000));
    let clock = Clock::Manual(manual.clone());
    let store = Arc::new(MemoryStore::new(clock.clone()));
    // With a full listen queue, connecting takes until the kernel repeats its first packet.
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, QUEUE_PROBE) {
        waiting.push(stream);
    }
    let listener = Arc::new(listener);
    let sender = {
        let listener = listener.clone();
        thread::spawn(move || send(store, clock, &listener))
    };
    thread::sleep(QUEUE_PROBE);
    manual.advance(LONG_PAUSE);
    let done = Arc::new(AtomicBool::new(false));
    let server = serve(listener.try_clone().unwrap(), done.clone());
    let refusal = sender.join().unwrap().expect_err("the lease has expired");
    thread::sleep(QUEUE_PROBE);
    done.store(true, Ordering::SeqCst);
    assert_eq!(server.join().unwrap(), 0, "requests that the engine received");
    assert_eq!((refusal.code, refusal.ran), (Code::StaleOrder, ExecutionState::NotRun));
}

/// Guards against an outage of the store that is reported as another router's lease, after waiting
/// for a lease that nobody holds.
#[test]
fn failed_lease_grant_is_reported_as_store_failure() {
    for error in [StoreError::Unavailable, StoreError::Unknown] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let clock = Clock::Manual(ManualClock::new(Timestamp::from_millis(1_000)));
        let store = FailingGrants { store: MemoryStore::new(clock.clone()), error };
        let (done, outcome) = mpsc::channel();
        thread::spawn(move || done.send(send(Arc::new(store), clock, &listener)));
        let refusal = outcome.recv_timeout(RESPONSE_LIMIT).expect("a response");
        let refusal = refusal.expect_err("no lease is granted");
        assert_eq!((refusal.code, refusal.ran), (Code::StoreUnavailable, ExecutionState::NotRun));
    }
}
