//! Certificates of a router and the TLS configurations made of them.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use berylwheel_types::RouterId;
use quinn::IdleTimeout;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::DigitallySignedStruct;
use rustls::RootCertStore;
use rustls::SignatureScheme;
use rustls::client::Resumption;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::pki_types::pem::PemObject;
use rustls::server::NoServerSessionStorage;
use rustls::server::WebPkiClientVerifier;
use webpki::EndEntityCert;

use crate::FRAME_LIMIT;
use crate::PeerError;

/// The version of the messages; routers with different versions do not connect.
const PROTOCOL: &[u8] = b"berylwheel-peer/1";

/// A connection without any packet for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Streams that a peer may have open at a time.
const STREAM_LIMIT: u32 = 32;

/// Handshakes that may wait for an answer at a time.
const INCOMING_LIMIT: usize = 64;

/// Bytes kept of the first packets of such a handshake, and of all of them.
const INCOMING_BYTES: u64 = 16 << 10;

/// Certificate chain, private key and CA certificates of one router.
///
/// The first DNS subject alternative name of the certificate is the router's name.
#[derive(Debug)]
pub struct PeerIdentity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Vec<CertificateDer<'static>>,
    name: RouterId,
}

impl PeerIdentity {
    /// Reads an identity from PEM files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or if the certificate does not name a router.
    pub fn from_files(chain: &Path, key: &Path, authorities: &Path) -> Result<Self, PeerError> {
        let read = |path: &Path| {
            std::fs::read(path).map_err(|e| PeerError::Read(path.to_owned(), e.to_string()))
        };
        Self::from_pem(&read(chain)?, &read(key)?, &read(authorities)?)
    }

    /// Reads an identity from PEM text.
    ///
    /// # Errors
    ///
    /// Fails if a text is not PEM or if the certificate does not name a router.
    pub fn from_pem(chain: &[u8], key: &[u8], authorities: &[u8]) -> Result<Self, PeerError> {
        let tls = |error: rustls::pki_types::pem::Error| PeerError::Tls(error.to_string());
        let certificates = |pem| {
            let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
            all.map_err(tls)
        };
        let chain = certificates(chain)?;
        let name = chain.first().and_then(router_name).ok_or(PeerError::NoName)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(tls)?;
        Ok(Self { chain, key, authorities: certificates(authorities)?, name })
    }

    /// Returns the router's name.
    pub fn name(&self) -> &RouterId {
        &self.name
    }

    fn roots(&self) -> Result<Arc<RootCertStore>, PeerError> {
        let mut roots = RootCertStore::empty();
        for authority in &self.authorities {
            roots.add(authority.clone())?;
        }
        Ok(Arc::new(roots))
    }

    /// Returns the configuration for connections from peers, which must have a certificate.
    pub(crate) fn server(&self) -> Result<quinn::ServerConfig, PeerError> {
        let provider = Arc::new(ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots()?, Arc::clone(&provider))
                .build()
                .map_err(|e| PeerError::Tls(e.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        // A resumed session would skip the check of the certificate.
        tls.session_storage = Arc::new(NoServerSessionStorage {});
        tls.send_tls13_tickets = 0;
        let crypto = QuicServerConfig::try_from(tls).map_err(|e| PeerError::Tls(e.to_string()))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(Arc::new(transport(STREAM_LIMIT)));
        config.migration(false);
        config.max_incoming(INCOMING_LIMIT);
        config.incoming_buffer_size(INCOMING_BYTES);
        config.incoming_buffer_size_total(INCOMING_BYTES * INCOMING_LIMIT as u64);
        Ok(config)
    }

    /// Returns the configuration for connections to peers.
    pub(crate) fn client(&self) -> Result<quinn::ClientConfig, PeerError> {
        let provider = Arc::new(ring::default_provider());
        let verifier = PeerVerifier::new(self.roots()?, Arc::clone(&provider))?;
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(verifier))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        tls.resumption = Resumption::disabled();
        let crypto = QuicClientConfig::try_from(tls).map_err(|e| PeerError::Tls(e.to_string()))?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        // Messages go one way, from the router that connects.
        config.transport_config(Arc::new(transport(0)));
        Ok(config)
    }
}

fn transport(streams: u32) -> TransportConfig {
    let window = VarInt::from_u32(FRAME_LIMIT as u32 + (64 << 10));
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_uni_streams(VarInt::from_u32(streams))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .stream_receive_window(window)
        .receive_window(window)
        .send_window(2 * FRAME_LIMIT as u64)
        .datagram_receive_buffer_size(None)
        .max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport
}

/// Returns the router that a certificate names: the first DNS subject alternative name.
pub(crate) fn router_name(certificate: &CertificateDer<'_>) -> Option<RouterId> {
    let certificate = EndEntityCert::try_from(certificate).ok()?;
    let name = certificate.valid_dns_names().next()?;
    name.parse().ok()
}

/// Accepts any router of the fleet as a server.
///
/// A message goes to an address, whose router is not known by name, so the certificate is checked
/// against the CA certificates for the name that it holds itself.
#[derive(Debug)]
struct PeerVerifier(Arc<WebPkiServerVerifier>);

impl PeerVerifier {
    fn new(roots: Arc<RootCertStore>, provider: Arc<CryptoProvider>) -> Result<Self, PeerError> {
        WebPkiServerVerifier::builder_with_provider(roots, provider)
            .build()
            .map(Self)
            .map_err(|e| PeerError::Tls(e.to_string()))
    }
}

impl ServerCertVerifier for PeerVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        ocsp: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let unnamed = || rustls::Error::General("the certificate does not name a router".into());
        let name = router_name(end_entity).ok_or_else(unnamed)?;
        let name = ServerName::try_from(name.as_str()).map_err(|_| unnamed())?;
        self.0.verify_server_cert(end_entity, intermediates, &name, ocsp, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.0.verify_tls12_signature(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.0.verify_tls13_signature(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.supported_verify_schemes()
    }
}
