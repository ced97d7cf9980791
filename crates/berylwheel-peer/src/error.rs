//! Errors from setting up links and identities.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// An error from creating a link or an identity.
#[derive(Debug)]
pub enum PeerError {
    /// A PEM file of the identity cannot be read.
    Read(PathBuf, String),
    /// The certificate, key or CA certificates are not valid, or do not form a valid TLS
    /// configuration.
    Tls(String),
    /// The certificate's first DNS subject alternative name is missing or not a valid router name.
    NoName,
    /// The UDP socket cannot be bound, or its address cannot be determined.
    Bind(io::Error),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Tls(error) => write!(f, "invalid TLS certificate or key: {error}"),
            Self::NoName => f.write_str(
                "the certificate has no DNS subject alternative name that is a valid router name",
            ),
            Self::Bind(error) => write!(f, "cannot bind the peer address: {error}"),
        }
    }
}

impl std::error::Error for PeerError {}

impl From<rustls::Error> for PeerError {
    fn from(error: rustls::Error) -> Self {
        Self::Tls(error.to_string())
    }
}
