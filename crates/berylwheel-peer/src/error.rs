//! Errors of the links.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a link or an identity cannot be made.
#[derive(Debug)]
pub enum PeerError {
    /// A file of the identity cannot be read as PEM.
    Read(PathBuf, String),
    /// Certificate, key and CA certificates do not make a TLS configuration.
    Tls(String),
    /// The certificate has no DNS subject alternative name that is a router's name.
    NoName,
    /// The address cannot be bound.
    Bind(io::Error),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            Self::Tls(error) => write!(f, "cannot use the router's certificate: {error}"),
            Self::NoName => f.write_str(
                "the certificate has no DNS subject alternative name with a router's name",
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
