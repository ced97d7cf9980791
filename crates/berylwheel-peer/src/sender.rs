//! Outgoing connections, which send the queued frames of a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use berylwheel_types::stable_hash;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::SendStream;
use quinn::VarInt;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::link::Shared;
use crate::outbox::Outbox;
use crate::receiver::read_answers;
use crate::registry::add_count;
use crate::runtime::with_timeout;

/// The delay before reconnecting after the first failure. It doubles with each further failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// The maximum delay before reconnecting, which ensures that a recovered peer is reached within
/// seconds.
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);

/// The maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum time for writing a frame, and then for the peer to acknowledge it. After that the
/// peer is assumed to have restarted or to be unreachable, and the connection is replaced.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum time to open a stream on a connection that the peer opened. If the peer allows no
/// further stream there, this router opens a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// The server name of the TLS handshake. It is required but not used: a certificate is verified for
/// the name that it contains.
const SERVER_NAME: &str = "router";

/// Sends the frames in `outbox` to `peer`, reconnecting with exponential backoff. Uses the open
/// connection with the peer, whoever opened it. Returns when the connection has ended and the
/// outbox is empty. `kind` is the kind of message for which the first
/// connection is opened.
pub(crate) async fn run_sender(
    shared: Arc<Shared>,
    peer: SocketAddr,
    outbox: Arc<Outbox>,
    kind: &'static str,
) {
    let local_address = shared.endpoint.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let seed = stable_hash(&[shared.name.as_str(), &local_address, &peer.to_string()]);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut backoff = BACKOFF_BASE;
    if let Some(connection) = shared.registry.connection(peer) {
        let acknowledged = Arc::new(AtomicBool::new(false));
        send_frames(&shared, &connection, &outbox, &acknowledged, OPEN_TIMEOUT).await;
        if shared.remove_if_idle(peer, &outbox) {
            return;
        }
    }
    loop {
        let epoch = shared.registry.epoch();
        shared.registry.count_kind(kind, |stats| stats.handshakes += 1);
        match connect(&shared, peer).await {
            Some(connection) => {
                shared.registry.insert(&connection, None, epoch);
                shared.spawn(read_answers(Arc::clone(&shared), connection.clone()));
                let acknowledged = Arc::new(AtomicBool::new(false));
                send_frames(&shared, &connection, &outbox, &acknowledged, ACK_TIMEOUT).await;
                connection.close(VarInt::from_u32(0), b"done");
                shared.registry.remove(&connection, None);
                // A peer rejects the client certificate only after the handshake has completed on
                // this side, so only an acknowledged frame proves that the peer is reachable.
                if acknowledged.load(Ordering::Relaxed) {
                    backoff = BACKOFF_BASE;
                }
            }
            None => add_count(&shared.registry.counters.refused, 1),
        }
        if shared.remove_if_idle(peer, &outbox) {
            return;
        }
        // The jitter prevents all routers from reconnecting to a recovered peer at the same time.
        Timer::after(backoff.mul_f64(rng.random_range(0.5..1.5))).await;
        backoff = (backoff * 2).min(BACKOFF_LIMIT);
    }
}

async fn connect(shared: &Shared, peer: SocketAddr) -> Option<Connection> {
    let connecting = shared.endpoint.connect_with(shared.client_config(), peer, SERVER_NAME);
    let connecting = connecting
        .map_err(|error| log::warn!(peer:%, error:%; "cannot start a connection to the peer"));
    match with_timeout(CONNECT_TIMEOUT, connecting.ok()?).await? {
        Ok(connection) => Some(connection),
        Err(error) => {
            log::debug!(peer:%, error:%; "outgoing peer connection failed");
            None
        }
    }
}

/// Sends frames until the connection ends or a frame cannot be written. `open_timeout` is the time
/// to wait until the peer allows another stream.
async fn send_frames(
    shared: &Arc<Shared>,
    connection: &Connection,
    outbox: &Outbox,
    acknowledged: &Arc<AtomicBool>,
    open_timeout: Duration,
) {
    loop {
        let closed = async {
            connection.closed().await;
            None
        };
        let next_frame = async { Some(outbox.dequeue().await) };
        let Some(frame) = futures_lite::future::or(closed, next_frame).await else { return };
        match with_timeout(ACK_TIMEOUT, write_frame(connection, &frame, open_timeout)).await {
            Some(Ok(stream)) => {
                let (shared, acknowledged) = (Arc::clone(shared), Arc::clone(acknowledged));
                shared.clone().spawn(await_acknowledgment(
                    shared,
                    connection.clone(),
                    stream,
                    acknowledged,
                ));
            }
            // The stream was not finished, so the peer has not received the message and it is safe
            // to send it again.
            _ => {
                outbox.requeue(frame);
                return;
            }
        }
    }
}

async fn write_frame(
    connection: &Connection,
    frame: &[u8],
    open_timeout: Duration,
) -> Result<SendStream, quinn::WriteError> {
    let opened = with_timeout(open_timeout, connection.open_uni()).await;
    let mut stream = opened.unwrap_or(Err(ConnectionError::TimedOut))?;
    stream.write_all(frame).await?;
    let _ = stream.finish();
    Ok(stream)
}

/// Waits until the peer has acknowledged the whole frame, and closes the connection if it does not.
async fn await_acknowledgment(
    shared: Arc<Shared>,
    connection: Connection,
    stream: SendStream,
    acknowledged: Arc<AtomicBool>,
) {
    match with_timeout(ACK_TIMEOUT, stream.stopped()).await {
        Some(Ok(None)) => {
            acknowledged.store(true, Ordering::Relaxed);
            add_count(&shared.registry.counters.messages_out, 1);
        }
        Some(_) => add_count(&shared.registry.counters.lost, 1),
        None => {
            add_count(&shared.registry.counters.lost, 1);
            connection.close(VarInt::from_u32(0), b"not confirmed");
        }
    }
}
