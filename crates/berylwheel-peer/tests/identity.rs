//! Loading of router identities.

mod support;

use berylwheel_peer::PeerError;
use berylwheel_peer::PeerIdentity;
use berylwheel_peer::PeerLink;
use support::Authority;
use support::TestExecutor;
use support::any_port;

fn parse_identity(chain: &str, key: &str, authorities: &str) -> Result<PeerIdentity, PeerError> {
    PeerIdentity::from_pem(chain.as_bytes(), key.as_bytes(), authorities.as_bytes())
}

/// Guards against an invalid identity that is only detected when the first peer connects.
#[test]
fn invalid_identities_are_rejected_on_setup() {
    let (authority, executor) = (Authority::new(), TestExecutor::new());
    let (chain, key) = authority.issue(&["r1", "r1.example"]);
    let (_, other_key) = authority.issue(&["r1"]);
    let (unnamed, _) = authority.issue(&[]);
    let ca = authority.pem();
    let can_bind = |identity| PeerLink::bind(any_port(), identity, &executor.0).is_ok();
    assert_eq!(parse_identity(&chain, &key, &ca).unwrap().name().as_str(), "r1");
    assert!(can_bind(parse_identity(&chain, &key, &ca).unwrap()));
    assert!(matches!(parse_identity(&unnamed, &key, &ca), Err(PeerError::NoName)));
    assert!(matches!(parse_identity("", &key, &ca), Err(PeerError::NoName)));
    assert!(matches!(parse_identity(&chain, "", &ca), Err(PeerError::Tls(_))));
    assert!(
        !can_bind(parse_identity(&chain, &other_key, &ca).unwrap()),
        "accepted the key of another certificate"
    );
    assert!(
        !can_bind(parse_identity(&chain, &key, "").unwrap()),
        "accepted an empty list of CA certificates"
    );
}

/// Guards against an error about a missing file that does not contain its path.
#[test]
fn identity_is_loaded_from_files_and_errors_contain_the_path() {
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
