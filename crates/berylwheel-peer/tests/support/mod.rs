//! Helpers for tests: certificate authorities, router links and an executor.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use berylwheel_peer::InboundMessage;
use berylwheel_peer::Message;
use berylwheel_peer::PeerIdentity;
use berylwheel_peer::PeerLink;
use berylwheel_types::Version;
use futures_lite::future;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;

/// The maximum duration of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A certificate authority for tests.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::new(vec![]).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Self(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    pub fn pem(&self) -> String {
        self.0.pem()
    }

    /// Issues a certificate with the given DNS names, and returns it and its key in PEM.
    pub fn issue(&self, names: &[&str]) -> (String, String) {
        let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
        let key = KeyPair::generate().unwrap();
        let certificate = CertificateParams::new(names).unwrap().signed_by(&key, &self.0).unwrap();
        (certificate.pem(), key.serialize_pem())
    }

    /// Returns an identity issued by this CA for a router that trusts the CA `trusted`.
    pub fn identity_for(&self, name: &str, trusted: &Self) -> PeerIdentity {
        let (certificate, key) = self.issue(&[name]);
        PeerIdentity::from_pem(certificate.as_bytes(), key.as_bytes(), trusted.pem().as_bytes())
            .unwrap()
    }

    pub fn identity(&self, name: &str) -> PeerIdentity {
        self.identity_for(name, self)
    }
}

/// The link of a router, with its received messages and its address.
pub struct Node {
    pub link: PeerLink,
    pub inbound: Receiver<InboundMessage>,
    pub address: SocketAddr,
}

impl Node {
    pub fn bind(address: SocketAddr, identity: PeerIdentity, executor: &TestExecutor) -> Self {
        let (link, inbound) = PeerLink::bind(address, identity, &executor.0).unwrap();
        let address = link.address().unwrap();
        Self { link, inbound, address }
    }

    pub fn new(identity: PeerIdentity, executor: &TestExecutor) -> Self {
        Self::bind(any_port(), identity, executor)
    }

    /// Sends messages to `to` repeatedly until `event` completes, and returns its result.
    pub async fn send_until<T>(&self, to: &Self, event: impl Future<Output = T>) -> T {
        let send_loop = async {
            loop {
                self.link.send(to.address, version_message(1));
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        future::or(event, send_loop).await
    }

    /// Sends messages to `to` repeatedly until it receives one, and returns that message.
    pub async fn send_until_received(&self, to: &Self) -> InboundMessage {
        self.send_until(to, async { to.inbound.recv().await.unwrap() }).await
    }
}

/// The executor on which the tasks of the links run.
pub struct TestExecutor(pub Arc<Executor<'static>>);

impl TestExecutor {
    pub fn new() -> Self {
        Self(Arc::new(Executor::new()))
    }

    /// Runs `test` to completion, and panics if it takes longer than [`TEST_TIMEOUT`].
    pub fn run<T>(&self, test: impl Future<Output = T>) -> T {
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            panic!("the test timed out after {TEST_TIMEOUT:?}");
        };
        future::block_on(self.0.run(future::or(test, timeout)))
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn version_message(n: u64) -> Message {
    Message::ConfigVersion { version: Version(n) }
}

/// Waits until `condition` returns true.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        Timer::after(Duration::from_millis(5)).await;
    }
}
