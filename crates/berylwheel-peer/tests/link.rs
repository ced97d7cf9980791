//! Communication between routers over QUIC with mutual TLS.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use berylwheel_peer::FRAME_LIMIT;
use berylwheel_peer::Message;
use berylwheel_types::Timestamp;
use futures_lite::future;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::SmolRuntime;
use quinn::WriteError;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use support::Authority;
use support::Node;
use support::TestExecutor;
use support::any_port;
use support::version_message;
use support::wait_until;

/// Returns a QUIC endpoint that performs the handshake but has none of the limits of a link. `name`
/// is the router name in its certificate; without one it has no certificate.
fn raw_endpoint(authority: &Authority, name: Option<&str>) -> Endpoint {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(authority.pem().as_bytes()).unwrap()).unwrap();
    let tls = rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut tls = match name {
        None => tls.with_no_client_auth(),
        Some(name) => {
            let (certificate, key) = authority.issue(&[name]);
            let chain = vec![CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap()];
            let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap();
            tls.with_client_auth_cert(chain, key).unwrap()
        }
    };
    tls.alpn_protocols = vec![b"berylwheel-peer/1".to_vec()];
    let socket = std::net::UdpSocket::bind(any_port()).unwrap();
    let mut endpoint =
        Endpoint::new(EndpointConfig::default(), None, socket, Arc::new(SmolRuntime)).unwrap();
    let crypto = QuicClientConfig::try_from(tls).unwrap();
    endpoint.set_default_client_config(ClientConfig::new(Arc::new(crypto)));
    endpoint
}

async fn connect(endpoint: &Endpoint, node: &Node) -> Connection {
    endpoint.connect(node.address, "b").unwrap().await.unwrap()
}

async fn send_frame(connection: &Connection, frame: &[u8]) {
    let mut stream = connection.open_uni().await.unwrap();
    stream.write_all(frame).await.unwrap();
    stream.finish().unwrap();
    let _ = stream.stopped().await;
}

/// Guards against messages that are lost or reordered on an otherwise idle link, or delivered with
/// the wrong sender name, and against a closed link that still transfers messages.
#[test]
fn messages_are_delivered_with_the_name_in_the_certificate() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let a = Node::new(authority.identity("a"), &executor);
    let b = Node::new(authority.identity("b"), &executor);
    executor.run(async {
        for n in 0..50 {
            a.link.send(b.address, version_message(n));
        }
        for n in 0..50 {
            let inbound = b.inbound.recv().await.unwrap();
            assert_eq!((inbound.from.as_str(), inbound.message), ("a", version_message(n)));
            assert_eq!(inbound.address, a.address);
        }
        let large = Message::ConfigParts { root: vec![7; FRAME_LIMIT - 64], parts: vec![] };
        b.link.send(a.address, large.clone());
        assert_eq!(a.inbound.recv().await.unwrap().message, large);
        wait_until(|| a.link.stats().messages_out == 50).await;
        let stats = a.link.stats();
        assert_eq!((stats.messages_in, stats.dropped, stats.lost), (1, 0, 0));
        assert!(stats.bytes_in > FRAME_LIMIT as u64, "{stats:?}");
        a.link.close().await;
        b.link.close().await;
        assert!(a.inbound.recv().await.is_err(), "the closed link still receives messages");
        a.link.send(b.address, version_message(1));
        assert_eq!(a.link.stats().dropped, 1, "the closed link still accepts messages");
    });
}

/// Guards against accepting messages from a client without a certificate or with one from another
/// CA.
#[test]
fn clients_without_a_certificate_of_the_ca_are_refused() {
    let (authority, other_authority, executor) =
        (Authority::new(), Authority::new(), TestExecutor::new());
    let b = Node::new(authority.identity("b"), &executor);
    let untrusted = Node::new(other_authority.identity_for("a", &authority), &executor);
    executor.run(async {
        untrusted.link.send(b.address, version_message(1));
        wait_until(|| b.link.stats().refused >= 1).await;

        let endpoint = raw_endpoint(&authority, None);
        let connecting = endpoint.connect(b.address, "b").unwrap();
        if let Ok(connection) = connecting.await {
            connection.closed().await;
        }
        wait_until(|| b.link.stats().refused >= 2).await;

        let named = Node::new(authority.identity("a"), &executor);
        assert_eq!(named.send_until_received(&b).await.from.as_str(), "a");
        assert!(b.link.stats().messages_in >= 1);
        assert_eq!(untrusted.link.stats().messages_out, 0);
    });
}

/// Guards against sending messages to a server whose certificate is from another CA.
#[test]
fn servers_without_a_certificate_of_the_ca_receive_nothing() {
    let (authority, other_authority, executor) =
        (Authority::new(), Authority::new(), TestExecutor::new());
    let a = Node::new(authority.identity("a"), &executor);
    let untrusted = Node::new(other_authority.identity_for("b", &authority), &executor);
    executor.run(async {
        a.link.send(untrusted.address, version_message(1));
        wait_until(|| a.link.stats().refused >= 2).await;
        assert!(untrusted.inbound.is_empty());
        assert_eq!(a.link.stats().messages_out, 0);
    });
}

/// Guards against accepting frames over 1 MB, and against invalid frames that prevent later valid
/// ones from being received.
#[test]
fn invalid_frames_are_counted_and_skipped() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let b = Node::new(authority.identity("b"), &executor);
    executor.run(async {
        let endpoint = raw_endpoint(&authority, Some("a"));
        let connection = connect(&endpoint, &b).await;
        let mut endless = connection.open_uni().await.unwrap();
        let stopped = endless.write_all(&vec![0; 8 * FRAME_LIMIT]).await;
        assert!(matches!(stopped, Err(WriteError::Stopped(_))), "{stopped:?}");
        send_frame(&connection, &[255; 40]).await;
        let heartbeat = Message::Heartbeat {
            incarnation: "c@1".parse().unwrap(),
            counter: 1,
            domain: "d1".parse().unwrap(),
            address: any_port(),
            version: None,
            draining: false,
            others: vec![],
            served: vec![],
            clock: Timestamp::default(),
            reaches: true,
        };
        send_frame(&connection, &heartbeat.encode().unwrap()).await;
        send_frame(&connection, &version_message(5).encode().unwrap()).await;
        assert_eq!(b.inbound.recv().await.unwrap().message, version_message(5));
        assert_eq!(b.link.stats().malformed, 3);

        let large = Message::ConfigParts { root: vec![0; FRAME_LIMIT], parts: vec![] };
        b.link.send(any_port(), large);
        assert_eq!(b.link.stats().dropped, 1);
    });
}

/// Guards against a peer that exhausts memory by opening many streams or connections.
#[test]
fn streams_and_connections_per_peer_are_bounded() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let b = Node::new(authority.identity("b"), &executor);
    executor.run(async {
        let endpoint = raw_endpoint(&authority, Some("a"));
        let first = connect(&endpoint, &b).await;
        let mut streams = Vec::new();
        while let Some(stream) = future::poll_once(first.open_uni()).await {
            streams.push(stream.unwrap());
        }
        assert_eq!(streams.len(), 32);
        assert!(future::poll_once(first.open_bi()).await.is_none());
        let _second = connect(&endpoint, &b).await;
        let third = connect(&endpoint, &b).await;
        let reason = first.closed().await;
        assert!(reason.to_string().contains("replaced"), "{reason}");
        b.link.close().await;
        let reason = third.closed().await;
        assert!(reason.to_string().contains("closed"), "{reason}");
    });
}

/// Guards against a sender that blocks or a queue that grows without bound when a peer does not
/// respond.
#[test]
fn full_queues_drop_the_oldest_frames() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let a = Node::new(authority.identity("a"), &executor);
    let silent = std::net::UdpSocket::bind(any_port()).unwrap();
    let to = silent.local_addr().unwrap();
    (0..1_000).for_each(|n| a.link.send(to, version_message(n)));
    assert_eq!(a.link.stats().dropped, 1_000 - 256);
    let large = Message::ConfigParts { root: vec![0; FRAME_LIMIT - 64], parts: vec![] };
    (0..10).for_each(|_| a.link.send(any_port(), large.clone()));
    assert_eq!(a.link.stats().dropped, 744 + 6);
    for n in 1..600 {
        a.link.send(SocketAddr::from(([127, 1, 0, 1], n)), version_message(1));
    }
    assert_eq!(a.link.stats().dropped, 744 + 6 + 601 - 512, "queues for more than 512 peers");
    drop(silent);
    let b = Node::bind(to, authority.identity("b"), &executor);
    executor.run(async {
        assert_eq!(b.inbound.recv().await.unwrap().message, version_message(744));
    });
}

/// Guards against dropping a frame that was only partly written when its connection failed. Such a
/// frame is sent again, because the peer cannot have received it.
#[test]
fn partly_written_frames_are_sent_again_after_a_stall() {
    let (authority, executor, stalled) =
        (Authority::new(), TestExecutor::new(), TestExecutor::new());
    let a = Node::new(authority.identity("a"), &executor);
    let b = Node::new(authority.identity("b"), &stalled);
    executor.run(stalled.0.run(a.send_until_received(&b)));
    let large = |n| Message::ConfigParts { root: vec![n; FRAME_LIMIT - 64], parts: vec![] };
    // The first frame fits into the peer's receive window and is lost with the connection. The
    // second one does not fit and is sent again.
    (1..=3).for_each(|n| a.link.send(b.address, large(n)));
    executor.run(wait_until(|| a.link.stats().connections == 0));
    let next = executor.run(stalled.0.run(async {
        loop {
            match b.inbound.recv().await.unwrap().message {
                Message::ConfigParts { root, .. } if root[0] >= 2 => return root[0],
                _ => {}
            }
        }
    }));
    assert_eq!(next, 2);
}

/// Guards against a link that does not recover when a peer restarts at the same address after a
/// graceful stop or a crash.
#[test]
fn links_recover_after_a_peer_restarts() {
    for graceful in [true, false] {
        let (authority, executor) = (Authority::new(), TestExecutor::new());
        let a = Node::new(authority.identity("a"), &executor);
        let old_process = TestExecutor::new();
        let b = Node::new(authority.identity("b"), &old_process);
        let address = b.address;
        executor.run(old_process.0.run(async {
            a.send_until_received(&b).await;
            if graceful {
                b.link.close().await;
            }
        }));
        // In a crash the tasks end without notifying the peer.
        drop((b, old_process));
        executor.run(async {
            wait_until(|| std::net::UdpSocket::bind(address).is_ok()).await;
            let b = Node::bind(address, authority.identity("b"), &executor);
            assert_eq!(a.send_until_received(&b).await.from.as_str(), "a", "graceful: {graceful}");
        });
    }
}

/// Guards against a removed CA that is still trusted after a reload, and against new certificates
/// that only take effect after a restart.
#[test]
fn reload_replaces_certificates_and_trusted_cas() {
    let (before, after, executor) = (Authority::new(), Authority::new(), TestExecutor::new());
    let a = Node::new(before.identity("a"), &executor);
    let b = Node::new(before.identity("b"), &executor);
    executor.run(async {
        a.send_until_received(&b).await;
        b.link.reload(after.identity("b")).unwrap();
        a.send_until(&b, wait_until(|| b.link.stats().connections == 0)).await;
        let messages = b.link.stats().messages_in;
        // Until the sender reloads, it does not trust the peer; afterwards the peer does not trust
        // the sender.
        a.send_until(&b, wait_until(|| a.link.stats().refused >= 2)).await;
        a.link.reload(before.identity_for("a", &after)).unwrap();
        let refused = b.link.stats().refused;
        a.send_until(&b, wait_until(|| b.link.stats().refused > refused + 1)).await;
        assert_eq!(b.link.stats().messages_in, messages);

        while b.inbound.try_recv().is_ok() {}
        a.link.reload(after.identity("a2")).unwrap();
        assert_eq!(a.send_until_received(&b).await.from.as_str(), "a2");
    });
}

/// Guards against messages that are lost on the connection to a process that was replaced.
#[test]
fn a_disconnected_peer_gets_the_next_message_on_a_new_connection() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let a = Node::new(authority.identity("a"), &executor);
    let old_process = TestExecutor::new();
    let b = Node::new(authority.identity("b"), &old_process);
    let address = b.address;
    executor.run(old_process.0.run(a.send_until_received(&b)));
    drop((b, old_process));
    executor.run(async {
        wait_until(|| std::net::UdpSocket::bind(address).is_ok()).await;
        let b = Node::bind(address, authority.identity("b"), &executor);
        a.link.disconnect(address);
        wait_until(|| a.link.stats().connections == 0).await;
        a.link.send(address, version_message(9));
        // Messages that waited for the old process may arrive first.
        while b.inbound.recv().await.unwrap().message != version_message(9) {}
    });
}

/// Guards against a second handshake, with all its signatures, for each answer.
#[test]
fn answers_use_the_connection_of_the_question() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let a = Node::new(authority.identity("a"), &executor);
    let b = Node::new(authority.identity("b"), &executor);
    executor.run(async {
        for number in 1..=20 {
            a.link.send(b.address, version_message(number));
            assert_eq!(b.inbound.recv().await.unwrap().message, version_message(number));
            b.link.send(a.address, version_message(100 + number));
            let answer = a.inbound.recv().await.unwrap();
            assert_eq!(
                (answer.from.as_str(), answer.message),
                ("b", version_message(100 + number))
            );
        }
    });
    let handshakes =
        |node: &Node| (node.link.stats().handshakes_out, node.link.stats().handshakes_in);
    assert_eq!((handshakes(&a), handshakes(&b)), ((1, 0), (0, 1)));
}
