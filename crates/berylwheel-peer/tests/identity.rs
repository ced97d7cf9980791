//! Identities from PEM files.

mod support;

use berylwheel_peer::PeerError;
use berylwheel_peer::PeerIdentity;
use berylwheel_peer::PeerLink;
use support::Authority;
use support::Executors;
use support::any_port;

fn read(chain: &str, key: &str, authorities: &str) -> Result<PeerIdentity, PeerError> {
    PeerIdentity::from_pem(chain.as_bytes(), key.as_bytes(), authorities.as_bytes())
}

/// Guards against an identity that fails only when the first peer connects.
#[test]
fn a_faulty_identity_is_refused_at_once() {
    let (authority, executor) = (Authority::new(), Executors::new());
    let (chain, key) = authority.issue(&["r1", "r1.example"]);
    let (_, other_key) = authority.issue(&["r1"]);
    let (nameless, _) = authority.issue(&[]);
    let ca = authority.pem();
    let works = |identity| PeerLink::bind(any_port(), identity, &executor.0).is_ok();
    assert_eq!(read(&chain, &key, &ca).unwrap().name().as_str(), "r1");
    assert!(works(read(&chain, &key, &ca).unwrap()));
    assert!(matches!(read(&nameless, &key, &ca), Err(PeerError::NoName)));
    assert!(matches!(read("", &key, &ca), Err(PeerError::NoName)));
    assert!(matches!(read(&chain, "", &ca), Err(PeerError::Tls(_))));
    assert!(!works(read(&chain, &other_key, &ca).unwrap()), "the key of another certificate");
    assert!(!works(read(&chain, &key, "").unwrap()), "no CA certificate");
}

/// Guards against an error that does not name the file.
#[test]
fn files_are_read_and_named_in_errors() {
    let authority = Authority::new();
    let (chain, key) = authority.issue(&["r1"]);
    let directory = std::env::temp_dir().join(format!("berylwheel-peer-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let paths = ["chain.pem", "key.pem", "ca.pem"].map(|name| directory.join(name));
    for (path, text) in paths.iter().zip([chain, key, authority.pem()]) {
        std::fs::write(path, text).unwrap();
    }
    let identity = PeerIdentity::from_files(&paths[0], &paths[1], &paths[2]).unwrap();
    assert_eq!(identity.name().as_str(), "r1");
    let error = PeerIdentity::from_files(&paths[0], &paths[1], &directory.join("no.pem"));
    assert!(error.unwrap_err().to_string().contains("no.pem"));
    std::fs::remove_dir_all(&directory).unwrap();
}
