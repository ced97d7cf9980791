//! The certificate authority that the routers of a fleet share.

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

/// A certificate authority with its key, in PEM.
///
/// ```
/// use berylwheel_peer::Authority;
/// let authority = Authority::generate().unwrap();
/// let identity = authority.identity(&"r1".parse().unwrap()).unwrap();
/// assert_eq!(identity.name().as_str(), "r1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Authority {
    /// The authority's certificate.
    pub certificate: String,
    /// Its private key.
    pub key: String,
}

/// A router's certificate and key, in PEM.
#[derive(Debug, Clone)]
pub struct Issued {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    /// Fails if no key can be made.
    pub fn generate() -> Result<Self, PeerError> {
        let key = KeyPair::generate().map_err(failed)?;
        let certificate = params()?.self_signed(&key).map_err(failed)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Makes a certificate and a key for the router `name`.
    ///
    /// # Errors
    /// Fails if the name is not a DNS label or the authority's key cannot be read.
    pub fn issue(&self, name: &str) -> Result<Issued, PeerError> {
        let key = KeyPair::from_pem(&self.key).map_err(failed)?;
        let issuer = Issuer::new(params()?, key);
        let own = KeyPair::generate().map_err(failed)?;
        let named = CertificateParams::new(vec![name.to_owned()]).map_err(failed)?;
        let certificate = named.signed_by(&own, &issuer).map_err(failed)?;
        Ok(Issued { certificate: certificate.pem(), key: own.serialize_pem() })
    }

    /// Makes an identity for the router `name`.
    ///
    /// # Errors
    /// As [`Authority::issue`].
    pub fn identity(&self, name: &RouterId) -> Result<PeerIdentity, PeerError> {
        let issued = self.issue(name.as_str())?;
        let authority = self.certificate.as_bytes();
        PeerIdentity::from_pem(issued.certificate.as_bytes(), issued.key.as_bytes(), authority)
    }
}

/// Returns what all authorities have in common. The subject has to be the same each time, since
/// certificates name their issuer by it.
fn params() -> Result<CertificateParams, PeerError> {
    let mut params = CertificateParams::new(Vec::new()).map_err(failed)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(params)
}

fn failed(error: rcgen::Error) -> PeerError {
    PeerError::Tls(error.to_string())
}
