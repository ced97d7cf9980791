//! Certificates and routers shared by the tests.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::Executor;
use async_io::Timer;
use berylwheel_peer::Inbound;
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

/// A test that has not seen its event by then fails.
const PATIENCE: Duration = Duration::from_secs(60);

/// A certificate authority.
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

    /// Returns certificate and key of a router, as PEM.
    pub fn issue(&self, names: &[&str]) -> (String, String) {
        let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
        let key = KeyPair::generate().unwrap();
        let certificate = CertificateParams::new(names).unwrap().signed_by(&key, &self.0).unwrap();
        (certificate.pem(), key.serialize_pem())
    }

    /// Returns the identity of a router that trusts `trusted`.
    pub fn identity_for(&self, name: &str, trusted: &Self) -> PeerIdentity {
        let (certificate, key) = self.issue(&[name]);
        PeerIdentity::from_pem(certificate.as_bytes(), key.as_bytes(), trusted.pem().as_bytes())
            .unwrap()
    }

    pub fn identity(&self, name: &str) -> PeerIdentity {
        self.identity_for(name, self)
    }
}

/// One router's link, its messages and its executor.
pub struct Node {
    pub link: PeerLink,
    pub inbound: Receiver<Inbound>,
    pub address: SocketAddr,
}

impl Node {
    pub fn bind(address: SocketAddr, identity: PeerIdentity, executor: &Executors) -> Self {
        let (link, inbound) = PeerLink::bind(address, identity, &executor.0).unwrap();
        let address = link.address().unwrap();
        Self { link, inbound, address }
    }

    pub fn new(identity: PeerIdentity, executor: &Executors) -> Self {
        Self::bind(any_port(), identity, executor)
    }

    /// Sends messages to `to` until `event` comes, and returns its result.
    pub async fn send_until<T>(&self, to: &Self, event: impl Future<Output = T>) -> T {
        let sends = async {
            loop {
                self.link.send(to.address, version(1));
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        future::or(event, sends).await
    }

    /// Sends messages to `to` until one arrives there, and returns it.
    pub async fn reach(&self, to: &Self) -> Inbound {
        self.send_until(to, async { to.inbound.recv().await.unwrap() }).await
    }
}

pub struct Executors(pub Arc<Executor<'static>>);

impl Executors {
    pub fn new() -> Self {
        Self(Arc::new(Executor::new()))
    }

    /// Runs `test`, which fails if it takes longer than a minute.
    pub fn run<T>(&self, test: impl Future<Output = T>) -> T {
        let late = async {
            Timer::after(PATIENCE).await;
            panic!("the event has not come");
        };
        future::block_on(self.0.run(future::or(test, late)))
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn version(n: u64) -> Message {
    Message::ConfigVersion { version: Version(n) }
}

/// Waits until `holds` does.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        Timer::after(Duration::from_millis(5)).await;
    }
}
