//! The endpoint through which a router exchanges messages with its peers.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::WeakSender;
use async_executor::Executor;
use berylwheel_types::FastMap;
use berylwheel_types::RouterId;
use futures_lite::future;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::Runtime;
use quinn::VarInt;

use crate::InboundMessage;
use crate::KindStats;
use crate::Message;
use crate::PeerError;
use crate::PeerIdentity;
use crate::PeerStats;
use crate::outbox::Outbox;
use crate::receiver;
use crate::receiver::CONNECTION_COUNT_LIMIT;
use crate::registry::Registry;
use crate::registry::add_count;
use crate::runtime::ExecutorRuntime;
use crate::sender;

/// The maximum number of received messages that wait for the control thread. They take up to 128 MB
/// if all have the maximum size.
const INBOUND_COUNT_LIMIT: usize = 128;

/// Sends messages to peers and receives messages from them on one UDP port.
///
/// Delivery is not guaranteed: a message may be lost when its connection fails, and is then counted
/// in [`PeerStats::lost`]. Clones share the same endpoint and queues.
///
/// ```
/// use std::sync::Arc;
///
/// use async_executor::Executor;
/// use berylwheel_peer::{Message, PeerIdentity, PeerLink};
/// use berylwheel_types::Version;
///
/// // A self-signed certificate that serves as its own CA. A fleet has one CA for all routers.
/// let made = rcgen::generate_simple_self_signed(vec!["r1".to_owned()]).unwrap();
/// let (chain, key) = (made.cert.pem(), made.signing_key.serialize_pem());
/// let identity =
///     PeerIdentity::from_pem(chain.as_bytes(), key.as_bytes(), chain.as_bytes()).unwrap();
/// let executor = Arc::new(Executor::new());
/// let any = "127.0.0.1:0".parse().unwrap();
/// let (link, inbound) = PeerLink::bind(any, identity, &executor).unwrap();
/// futures_lite::future::block_on(executor.run(async {
///     link.send(link.address().unwrap(), Message::ConfigVersion { version: Version(7) });
///     let received = inbound.recv().await.unwrap();
///     assert_eq!(received.from.as_str(), "r1");
///     assert_eq!(received.message, Message::ConfigVersion { version: Version(7) });
///     link.close().await;
/// }));
/// ```
#[derive(Debug, Clone)]
pub struct PeerLink {
    shared: Arc<Shared>,
}

/// The state shared by the tasks of a link.
#[derive(Debug)]
pub(crate) struct Shared {
    pub name: RouterId,
    pub endpoint: Endpoint,
    pub registry: Registry,
    runtime: ExecutorRuntime,
    client_config: Mutex<ClientConfig>,
    /// For the tasks that read from connections. Weak, so that the channel closes with the link.
    inbound: WeakSender<InboundMessage>,
    outboxes: Mutex<FastMap<SocketAddr, Arc<Outbox>>>,
    /// Tasks end when [`PeerLink::close`] closes this channel.
    stop_sender: Sender<()>,
    stop_receiver: Receiver<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Spawns a task that runs until it completes or the link is closed.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop_receiver = self.stop_receiver.clone();
        let stop = async move {
            // No value is ever sent; this returns when the channel is closed.
            let _ = stop_receiver.recv().await;
        };
        self.runtime.spawn(Box::pin(future::or(stop, task)));
    }

    /// Returns the channel for received messages, or `None` if the link is closed.
    pub fn inbound(&self) -> Option<Sender<InboundMessage>> {
        self.inbound.upgrade()
    }

    /// Returns the client configuration for new connections to peers.
    pub fn client_config(&self) -> ClientConfig {
        lock(&self.client_config).clone()
    }

    /// Closes and removes the outbox of a peer if it is empty. Returns whether it was removed.
    pub fn remove_if_idle(&self, peer: SocketAddr, outbox: &Outbox) -> bool {
        let mut outboxes = lock(&self.outboxes);
        let idle = outbox.close_if_empty();
        if idle {
            outboxes.remove(&peer);
        }
        idle
    }
}

impl PeerLink {
    /// Binds `address` and starts to accept connections from peers. Tasks run on `executor`.
    ///
    /// # Errors
    ///
    /// Fails if the identity is not a valid TLS configuration or if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        identity: PeerIdentity,
        executor: &Arc<Executor<'static>>,
    ) -> Result<(Self, Receiver<InboundMessage>), PeerError> {
        let (server, client) = (identity.server_config()?, identity.client_config()?);
        let runtime = ExecutorRuntime(Arc::downgrade(executor));
        let socket = UdpSocket::bind(address).map_err(PeerError::Bind)?;
        let endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(server),
            socket,
            Arc::new(runtime.clone()),
        )
        .map_err(PeerError::Bind)?;
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        let (sender, receiver) = async_channel::bounded(INBOUND_COUNT_LIMIT);
        let shared = Arc::new(Shared {
            inbound: sender.downgrade(),
            name: identity.name().clone(),
            endpoint,
            registry: Registry::default(),
            runtime,
            client_config: Mutex::new(client),
            outboxes: Mutex::default(),
            stop_sender,
            stop_receiver,
        });
        shared.spawn(receiver::accept_connections(Arc::clone(&shared), sender));
        Ok((Self { shared }, receiver))
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn address(&self) -> Result<SocketAddr, PeerError> {
        self.shared.endpoint.local_addr().map_err(PeerError::Bind)
    }

    /// Queues a message for the router at `to`. Never blocks.
    ///
    /// A message larger than [`crate::FRAME_LIMIT`] is dropped. If the queue is full, the oldest
    /// messages are dropped. A message to a new peer is dropped if there are too many peers. All of
    /// these are counted in [`PeerStats::dropped`].
    pub fn send(&self, to: SocketAddr, message: Message) {
        let kind = message.kind();
        self.shared.registry.count_kind(kind, |stats| stats.queued += 1);
        let dropped = &self.shared.registry.counters.dropped;
        let frame = match message.encode() {
            Ok(frame) => frame,
            Err(error) => {
                log::error!(peer:% = to, error:%; "dropped a message that cannot be encoded");
                return add_count(dropped, 1);
            }
        };
        let mut outboxes = lock(&self.shared.outboxes);
        if self.shared.stop_receiver.is_closed()
            || outboxes.len() >= CONNECTION_COUNT_LIMIT && !outboxes.contains_key(&to)
        {
            return add_count(dropped, 1);
        }
        let outbox = outboxes.entry(to).or_insert_with(|| {
            let outbox = Arc::new(Outbox::new());
            let task = sender::run_sender(Arc::clone(&self.shared), to, Arc::clone(&outbox), kind);
            self.shared.spawn(task);
            outbox
        });
        // The map never contains a closed outbox, because an outbox is closed and removed under the
        // same lock.
        add_count(dropped, outbox.push(frame).unwrap_or(1));
    }

    /// Replaces the identity. All open connections are closed, which disconnects peers whose
    /// certificate is no longer trusted; the others reconnect.
    ///
    /// # Errors
    ///
    /// Fails if the identity is not a valid TLS configuration. The old identity then stays in use.
    pub fn reload(&self, identity: PeerIdentity) -> Result<(), PeerError> {
        let (server, client) = (identity.server_config()?, identity.client_config()?);
        // The configurations are replaced before the epoch is incremented, so every connection made
        // with the old ones belongs to an earlier epoch.
        self.shared.endpoint.set_server_config(Some(server));
        *lock(&self.shared.client_config) = client;
        self.shared.registry.close_all(b"reload");
        Ok(())
    }

    /// Closes the open connections with `peer`, whose process has been replaced. The old process
    /// cannot close them, and without this a message would wait until the connection times out. The next
    /// message opens a new connection.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use async_executor::Executor;
    /// # use berylwheel_peer::{PeerIdentity, PeerLink};
    /// # let made = rcgen::generate_simple_self_signed(vec!["r1".to_owned()]).unwrap();
    /// # let (chain, key) = (made.cert.pem(), made.signing_key.serialize_pem());
    /// # let identity =
    /// #     PeerIdentity::from_pem(chain.as_bytes(), key.as_bytes(), chain.as_bytes()).unwrap();
    /// let executor = Arc::new(Executor::new());
    /// let (link, _) =
    ///     PeerLink::bind("127.0.0.1:0".parse().unwrap(), identity, &executor).unwrap();
    /// link.disconnect("127.0.0.1:7000".parse().unwrap());
    /// assert_eq!(link.stats().connections, 0);
    /// ```
    pub fn disconnect(&self, peer: SocketAddr) {
        self.shared.registry.close_peer(peer, b"replaced");
    }

    /// Returns the statistics of the link.
    pub fn stats(&self) -> PeerStats {
        self.shared.registry.stats()
    }

    /// Returns the statistics of the link by kind of message.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use async_executor::Executor;
    /// # use berylwheel_peer::{PeerIdentity, PeerLink};
    /// # let made = rcgen::generate_simple_self_signed(vec!["r1".to_owned()]).unwrap();
    /// # let (chain, key) = (made.cert.pem(), made.signing_key.serialize_pem());
    /// # let identity =
    /// #     PeerIdentity::from_pem(chain.as_bytes(), key.as_bytes(), chain.as_bytes()).unwrap();
    /// let executor = Arc::new(Executor::new());
    /// let (link, _) =
    ///     PeerLink::bind("127.0.0.1:0".parse().unwrap(), identity, &executor).unwrap();
    /// assert!(link.kinds().is_empty());
    /// ```
    pub fn kinds(&self) -> BTreeMap<&'static str, KindStats> {
        self.shared.registry.kinds()
    }

    /// Closes all connections and waits until the peers have been notified. Queued messages are
    /// dropped.
    pub async fn close(&self) {
        self.shared.stop_sender.close();
        self.shared.endpoint.close(VarInt::from_u32(0), b"closed");
        self.shared.endpoint.wait_idle().await;
    }
}
