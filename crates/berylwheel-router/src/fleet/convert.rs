//! Conversions between the messages of the peer protocol and the types of the other crates.

use berylwheel_config::Heartbeat;
use berylwheel_config::MemberEntry;
use berylwheel_config::Part;
use berylwheel_config::PartDigest;
use berylwheel_config::Root;
use berylwheel_peer::ClaimState;
use berylwheel_peer::Message;
use berylwheel_peer::PeerState;
use berylwheel_peer::ServedShare;
use berylwheel_schedule::ServedTokens;
use berylwheel_types::FailureDomain;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;

use crate::fleet::claims::ClaimResponse;

/// Converts a heartbeat of a router in `domain` to its message.
pub fn heartbeat_message(
    heartbeat: Heartbeat,
    served: Vec<ServedTokens>,
    clock: Timestamp,
    domain: &FailureDomain,
    reaches: bool,
) -> Message {
    let Heartbeat { own, others } = heartbeat;
    let others = others.into_iter().map(|entry| PeerState {
        incarnation: entry.incarnation,
        counter: entry.counter,
        domain: domain.clone(),
        address: entry.address,
        version: known_version(entry.version),
        draining: entry.leaving,
        suspect: entry.suspect,
    });
    let served = served.into_iter().map(|served| ServedShare {
        workspace: served.workspace,
        rank: served.rank,
        tokens: served.tokens,
    });
    Message::Heartbeat {
        incarnation: own.incarnation,
        counter: own.counter,
        domain: domain.clone(),
        address: own.address,
        version: known_version(own.version),
        draining: own.leaving,
        others: others.collect(),
        served: served.collect(),
        clock,
        reaches,
    }
}

/// Converts the state of a router as reported by a peer.
pub fn member_entry(state: PeerState) -> MemberEntry {
    MemberEntry {
        incarnation: state.incarnation,
        address: state.address,
        counter: state.counter,
        version: state.version.unwrap_or_default(),
        leaving: state.draining,
        suspect: state.suspect,
    }
}

/// Converts the tokens that a peer has served.
pub fn served_tokens(share: ServedShare) -> ServedTokens {
    ServedTokens { workspace: share.workspace, rank: share.rank, tokens: share.tokens }
}

/// Returns the message for a configuration root and some of its parts.
pub fn parts_message(root: &Root, parts: Vec<Part>) -> Message {
    let parts = parts.into_iter().map(|part| (part.index, part.text.into_bytes()));
    Message::ConfigParts { root: root.to_json(), parts: parts.collect() }
}

/// Decodes the configuration root and parts of a message, or returns `None` if they are invalid.
pub fn decode_parts(root: &[u8], parts: Vec<(u32, Vec<u8>)>) -> Option<(Root, Vec<Part>)> {
    let root = Root::from_json(root).ok()?;
    let parts = parts
        .into_iter()
        .map(|(index, text)| Some(Part { index, text: String::from_utf8(text).ok()? }))
        .collect::<Option<_>>()?;
    Some((root, parts))
}

/// Converts the digests of the parts that a peer already has.
pub fn part_digests(have: Vec<String>) -> Vec<PartDigest> {
    have.into_iter().map(PartDigest::from).collect()
}

/// Converts the response to a claim for sending.
pub fn encode_claim_response(response: ClaimResponse) -> ClaimState {
    match response {
        ClaimResponse::First => ClaimState::First,
        ClaimResponse::Running => ClaimState::Running,
        ClaimResponse::Finished => ClaimState::Finished,
        ClaimResponse::Reused => ClaimState::Reused,
    }
}

/// Converts a received response to a claim.
pub fn decode_claim_response(state: ClaimState) -> ClaimResponse {
    match state {
        ClaimState::First => ClaimResponse::First,
        ClaimState::Running => ClaimResponse::Running,
        ClaimState::Finished => ClaimResponse::Finished,
        ClaimState::Reused => ClaimResponse::Reused,
    }
}

fn known_version(version: Version) -> Option<Version> {
    (version > Version(0)).then_some(version)
}
