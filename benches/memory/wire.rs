//! Encoded sizes of the messages and lists that routers exchange or read every second.

use berylwheel_peer::Message;
use berylwheel_peer::PeerState;
use berylwheel_peer::ServedShare;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use serde_json::Value;
use serde_json::json;

/// Number of other routers whose state a heartbeat includes.
const OTHER_ROUTERS: usize = 8;

fn incarnation(number: usize) -> String {
    format!("router-{number}@117726349266581976")
}

/// Returns the encoded size of a heartbeat with the served tokens of `shares` workspaces per rank.
pub fn heartbeat_bytes(shares: usize) -> usize {
    let state = |number| PeerState {
        incarnation: incarnation(number).parse().expect("an incarnation"),
        counter: 86_400,
        domain: "gujarat-west-a".parse().expect("a domain"),
        address: "10.1.0.11:7000".parse().expect("an address"),
        version: Some(Version(2_200)),
        draining: false,
        suspect: false,
    };
    let share = |(rank, number): (Rank, usize)| ServedShare {
        workspace: format!("workspace-{number}").parse().expect("a workspace"),
        rank,
        tokens: Tokens(1_000_000_000),
    };
    let ranks = Rank::ALL.into_iter();
    let own = state(0);
    let heartbeat = Message::Heartbeat {
        incarnation: own.incarnation,
        counter: own.counter,
        domain: own.domain,
        address: own.address,
        version: own.version,
        draining: false,
        others: (1..=OTHER_ROUTERS).map(state).collect(),
        served: ranks.flat_map(|rank| (0..shares).map(move |n| (rank, n))).map(share).collect(),
        clock: Timestamp::from_millis(1 << 41),
        reaches: true,
    };
    heartbeat.encode().expect("a heartbeat").len()
}

fn json_length(items: impl Iterator<Item = Value>) -> usize {
    Value::Array(items.collect()).to_string().len()
}

/// Returns the size of the platform's list of `count` VMs.
pub fn vm_list_bytes(count: usize) -> usize {
    json_length((0..count).map(|number| {
        json!({
            "name": format!("engine-{number}"),
            "address": "10.1.2.101",
            "domain": "gujarat-west-a",
            "state": "live",
        })
    }))
}

/// Returns the size of the list of `count` routers in the store, before base64 encoding.
pub fn registry_bytes(count: usize) -> usize {
    json_length((0..count).map(|number| {
        json!({
            "incarnation": incarnation(number),
            "peer": "10.1.0.11:7000",
            "admin": "10.1.0.11:8081",
            "domain": "gujarat-west-a",
            "region": "gujarat-west",
        })
    }))
}
