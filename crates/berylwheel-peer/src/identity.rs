//! The certificates of a router and the QUIC configurations built from them.

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

/// The ALPN protocol, which includes the protocol version. Routers with different versions do not
/// connect to each other.
const ALPN_PROTOCOL: &[u8] = b"berylwheel-peer/1";

/// The time without any packet after which a connection is closed. In a large fleet a router asks
/// the home of a small budget once a minute or so, and the answer is late if that takes a handshake.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum number of concurrent streams of a peer.
const STREAM_COUNT_LIMIT: u32 = 32;

/// The maximum number of incoming connections that wait to be accepted.
const INCOMING_COUNT_LIMIT: usize = 64;

/// The maximum number of bytes buffered for an incoming connection before it is accepted. The limit
/// for all of them is this times [`INCOMING_COUNT_LIMIT`].
const INCOMING_BUFFER_BYTES: u64 = 16 << 10;

/// The certificate chain, private key and trusted CA certificates of a router.
///
/// The router name is the first DNS subject alternative name of the certificate.
#[derive(Debug)]
pub struct PeerIdentity {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authorities: Vec<CertificateDer<'static>>,
    name: RouterId,
}

impl PeerIdentity {
    /// Loads an identity from PEM files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, is not valid PEM, or if the certificate has no router name.
    pub fn from_files(chain: &Path, key: &Path, authorities: &Path) -> Result<Self, PeerError> {
        let read = |path: &Path| {
            std::fs::read(path).map_err(|e| PeerError::Read(path.to_owned(), e.to_string()))
        };
        Self::from_pem(&read(chain)?, &read(key)?, &read(authorities)?)
    }

    /// Parses an identity from PEM data.
    ///
    /// # Errors
    ///
    /// Fails if an input is not valid PEM or if the certificate has no router name.
    pub fn from_pem(chain: &[u8], key: &[u8], authorities: &[u8]) -> Result<Self, PeerError> {
        let pem_error = |error: rustls::pki_types::pem::Error| PeerError::Tls(error.to_string());
        let parse_certificates = |pem| {
            let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
            certificates.map_err(pem_error)
        };
        let chain = parse_certificates(chain)?;
        let name = chain.first().and_then(router_name).ok_or(PeerError::NoName)?;
        let key = PrivateKeyDer::from_pem_slice(key).map_err(pem_error)?;
        Ok(Self { chain, key, authorities: parse_certificates(authorities)?, name })
    }

    /// Returns the router name from the certificate.
    pub fn name(&self) -> &RouterId {
        &self.name
    }

    fn root_store(&self) -> Result<Arc<RootCertStore>, PeerError> {
        let mut roots = RootCertStore::empty();
        for authority in &self.authorities {
            roots.add(authority.clone())?;
        }
        Ok(Arc::new(roots))
    }

    /// Returns the configuration for connections from peers, which requires client certificates.
    pub(crate) fn server_config(&self) -> Result<quinn::ServerConfig, PeerError> {
        let provider = Arc::new(ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.root_store()?, Arc::clone(&provider))
                .build()
                .map_err(|e| PeerError::Tls(e.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // Resumption is disabled because a resumed session would skip certificate verification.
        tls.session_storage = Arc::new(NoServerSessionStorage {});
        tls.send_tls13_tickets = 0;
        let crypto = QuicServerConfig::try_from(tls).map_err(|e| PeerError::Tls(e.to_string()))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(Arc::new(transport_config(STREAM_COUNT_LIMIT)));
        config.migration(false);
        config.max_incoming(INCOMING_COUNT_LIMIT);
        config.incoming_buffer_size(INCOMING_BUFFER_BYTES);
        config.incoming_buffer_size_total(INCOMING_BUFFER_BYTES * INCOMING_COUNT_LIMIT as u64);
        Ok(config)
    }

    /// Returns the configuration for connections to peers.
    pub(crate) fn client_config(&self) -> Result<quinn::ClientConfig, PeerError> {
        let provider = Arc::new(ring::default_provider());
        let verifier = PeerVerifier::new(self.root_store()?, Arc::clone(&provider))?;
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(verifier))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        tls.resumption = Resumption::disabled();
        let crypto = QuicClientConfig::try_from(tls).map_err(|e| PeerError::Tls(e.to_string()))?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        // The peer answers on the connection that this router opened.
        config.transport_config(Arc::new(transport_config(STREAM_COUNT_LIMIT)));
        Ok(config)
    }
}

fn transport_config(stream_limit: u32) -> TransportConfig {
    let window = VarInt::from_u32(FRAME_LIMIT as u32 + (64 << 10));
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_uni_streams(VarInt::from_u32(stream_limit))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .stream_receive_window(window)
        .receive_window(window)
        .send_window(2 * FRAME_LIMIT as u64)
        .datagram_receive_buffer_size(None)
        .max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport
}

/// Returns the router name in a certificate: its first DNS subject alternative name.
pub(crate) fn router_name(certificate: &CertificateDer<'_>) -> Option<RouterId> {
    let certificate = EndEntityCert::try_from(certificate).ok()?;
    let name = certificate.valid_dns_names().next()?;
    name.parse().ok()
}

/// A certificate verifier that accepts any router of the fleet as a server.
///
/// The name of the router at an address is not known before connecting, so the certificate is
/// verified against the CA certificates for the name that it contains itself.
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
        let invalid_name = || {
            rustls::Error::General("the certificate does not contain a valid router name".into())
        };
        let name = router_name(end_entity).ok_or_else(invalid_name)?;
        let name = ServerName::try_from(name.as_str()).map_err(|_| invalid_name())?;
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
