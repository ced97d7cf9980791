//! The certificate authority shared by the routers of a fleet.

use berylwheel_types::RouterId;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use serde::Deserialize;
use serde::Serialize;

use crate::PeerError;
use crate::PeerIdentity;

/// A certificate authority (CA) with its private key, in PEM.
///
/// ```
/// use berylwheel_peer::Authority;
/// let authority = Authority::generate().unwrap();
/// let identity = authority.identity(&"r1".parse().unwrap()).unwrap();
/// assert_eq!(identity.name().as_str(), "r1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Authority {
    /// The CA certificate.
    pub certificate: String,
    /// The private key of the CA.
    pub key: String,
}

/// A router certificate and its private key, in PEM.
#[derive(Debug, Clone)]
pub struct IssuedCertificate {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Authority {
    /// Generates a new self-signed CA.
    ///
    /// # Errors
    /// Fails if key generation or signing fails.
    pub fn generate() -> Result<Self, PeerError> {
        let key = KeyPair::generate().map_err(tls_error)?;
        let certificate = ca_params()?.self_signed(&key).map_err(tls_error)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Generates a key for the router `name` and issues a certificate for it.
    ///
    /// # Errors
    /// Fails if `name` is not a valid DNS name or the CA key cannot be parsed.
    pub fn issue(&self, name: &str) -> Result<IssuedCertificate, PeerError> {
        let ca_key = KeyPair::from_pem(&self.key).map_err(tls_error)?;
        let issuer = Issuer::new(ca_params()?, ca_key);
        let router_key = KeyPair::generate().map_err(tls_error)?;
        let params = CertificateParams::new(vec![name.to_owned()]).map_err(tls_error)?;
        let certificate = params.signed_by(&router_key, &issuer).map_err(tls_error)?;
        Ok(IssuedCertificate { certificate: certificate.pem(), key: router_key.serialize_pem() })
    }

    /// Issues a certificate for the router `name` and returns it as a [`PeerIdentity`].
    ///
    /// # Errors
    /// Fails in the cases of [`Authority::issue`], and if `name` is not accepted as the name of the
    /// certificate.
    pub fn identity(&self, name: &RouterId) -> Result<PeerIdentity, PeerError> {
        let issued = self.issue(name.as_str())?;
        let ca_certificate = self.certificate.as_bytes();
        PeerIdentity::from_pem(issued.certificate.as_bytes(), issued.key.as_bytes(), ca_certificate)
    }
}

/// Returns the certificate parameters of the CA. They are created anew for each issued certificate,
/// so the subject must always be the same: issued certificates refer to their issuer by it.
fn ca_params() -> Result<CertificateParams, PeerError> {
    let mut params = CertificateParams::new(Vec::new()).map_err(tls_error)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(params)
}

fn tls_error(error: rcgen::Error) -> PeerError {
    PeerError::Tls(error.to_string())
}
