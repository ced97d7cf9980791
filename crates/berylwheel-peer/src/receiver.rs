//! Incoming connections from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use berylwheel_types::RouterId;
use quinn::Connection;
use quinn::Incoming;
use quinn::ReadToEndError;
use quinn::VarInt;
use rustls::pki_types::CertificateDer;

use crate::FRAME_LIMIT;
use crate::Message;
use crate::identity::router_name;
use crate::link::Shared;
use crate::registry::add_count;
use crate::runtime::with_timeout;

/// The maximum number of open connections, and also of outboxes. At the target fleet size a router
/// has about 10 connections for heartbeats and up to 339 for claims and recalls.
pub(crate) const CONNECTION_COUNT_LIMIT: usize = 512;

/// The maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum time a peer may take to send one frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// A message from a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct InboundMessage {
    /// The router that sent the message, according to its certificate.
    pub from: RouterId,
    /// The address of the sender, which also receives messages.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Accepts connections until the endpoint is closed.
pub(crate) async fn accept_connections(shared: Arc<Shared>, inbound: Sender<InboundMessage>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let open_count = shared.endpoint.open_connections();
        if open_count >= CONNECTION_COUNT_LIMIT {
            add_count(&shared.registry.counters.refused, 1);
            incoming.refuse();
            continue;
        }
        // From half the limit on, a peer must validate its address first, so that packets with
        // spoofed source addresses cannot exhaust the connections.
        if open_count >= CONNECTION_COUNT_LIMIT / 2 && incoming.may_retry() {
            let _ = incoming.retry();
            continue;
        }
        shared.spawn(handle_connection(Arc::clone(&shared), incoming, inbound.clone()));
    }
}

async fn handle_connection(
    shared: Arc<Shared>,
    incoming: Incoming,
    inbound: Sender<InboundMessage>,
) {
    let address = incoming.remote_address();
    let epoch = shared.registry.epoch();
    add_count(&shared.registry.counters.handshakes_in, 1);
    let Ok(connecting) = incoming.accept() else { return };
    let connection = match with_timeout(HANDSHAKE_TIMEOUT, connecting).await {
        Some(Ok(connection)) => connection,
        Some(Err(error)) => {
            add_count(&shared.registry.counters.refused, 1);
            log::warn!(address:%, error:%; "incoming peer connection failed");
            return;
        }
        None => {
            add_count(&shared.registry.counters.refused, 1);
            return;
        }
    };
    let Some(from) = peer_name(&connection) else {
        add_count(&shared.registry.counters.refused, 1);
        log::warn!(address:%; "peer certificate does not contain a valid router name");
        connection.close(VarInt::from_u32(0), b"no router name");
        return;
    };
    shared.registry.insert(&connection, Some(&from), epoch);
    read_frames(&shared, &connection, &from, &inbound).await;
    connection.close(VarInt::from_u32(0), b"done");
    shared.registry.remove(&connection, Some(&from));
}

/// Reads the messages that a peer sends on a connection that this router opened, until it ends.
pub(crate) async fn read_answers(shared: Arc<Shared>, connection: Connection) {
    let (Some(from), Some(inbound)) = (peer_name(&connection), shared.inbound()) else { return };
    read_frames(&shared, &connection, &from, &inbound).await;
}

fn peer_name(connection: &Connection) -> Option<RouterId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    router_name(chain.first()?)
}

/// Reads frames sequentially until the connection ends. A frame that cannot be decoded is counted
/// and skipped: it may come from a newer version, and each frame has its own stream.
async fn read_frames(
    shared: &Shared,
    connection: &Connection,
    from: &RouterId,
    inbound: &Sender<InboundMessage>,
) {
    while let Ok(mut stream) = connection.accept_uni().await {
        let frame = match with_timeout(FRAME_TIMEOUT, stream.read_to_end(FRAME_LIMIT)).await {
            Some(Ok(frame)) => frame,
            Some(Err(ReadToEndError::TooLong)) => {
                add_count(&shared.registry.counters.malformed, 1);
                log::warn!(peer:% = from; "peer frame exceeds {FRAME_LIMIT} bytes");
                continue;
            }
            // The peer may have reset only this stream; later streams can still be valid.
            Some(Err(ReadToEndError::Read(_))) => continue,
            None => return,
        };
        let message = match Message::decode(&frame) {
            Ok(Message::Heartbeat { incarnation, .. }) if incarnation.router != *from => {
                add_count(&shared.registry.counters.malformed, 1);
                log::warn!(
                    peer:% = from, name:% = incarnation;
                    "heartbeat name differs from the certificate"
                );
                continue;
            }
            Ok(message) => message,
            Err(error) => {
                add_count(&shared.registry.counters.malformed, 1);
                log::warn!(peer:% = from, error:%; "cannot decode a frame from a peer");
                continue;
            }
        };
        add_count(&shared.registry.counters.messages_in, 1);
        shared.registry.count_kind(message.kind(), |stats| stats.received += 1);
        let address = connection.remote_address();
        // Applies backpressure if the consumer is slow: the peer's outbox then fills up and drops
        // its oldest frames.
        if inbound.send(InboundMessage { from: from.clone(), address, message }).await.is_err() {
            return;
        }
    }
}
