//! Heartbeats use connections again: a fleet without changes opens none, whatever its size.

use std::net::SocketAddr;

use berylwheel_config::MemberPolicy;
use berylwheel_config::Members;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

/// Time without any packet after which the link closes a connection.
const IDLE_TIMEOUT: Millis = Millis(10_000);
/// Time after the start in which routers find each other.
const WARM_UP: Millis = Millis(40_000);
const MEASURED: Millis = Millis(40_000);

/// Returns the number of connections that the heartbeats of `count` routers open in total after
/// they have found each other.
fn connections_opened(count: usize) -> usize {
    let ids: Vec<RouterId> = (0..count).map(|i| format!("r{i}").parse().unwrap()).collect();
    let mut fleet: FastMap<RouterId, Members> = FastMap::default();
    for (i, id) in ids.iter().enumerate() {
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + i as u16));
        let run = Incarnation { router: id.clone(), number: 1 };
        let mut members = Members::new(run, address, MemberPolicy::default());
        members.set_peers(ids.iter().cloned());
        fleet.insert(id.clone(), members);
    }
    let mut used: FastMap<(RouterId, RouterId), Timestamp> = FastMap::default();
    let mut opened = 0;
    for tick in 0..(WARM_UP.0 + MEASURED.0) / 100 {
        let now = Timestamp::from_millis(1_000_000 + tick * 100);
        for from in &ids {
            for (to, heartbeat) in fleet.get_mut(from).unwrap().poll(now) {
                let last = used.insert((from.clone(), to.clone()), now);
                let is_open = last.is_some_and(|at| now.since(at) < IDLE_TIMEOUT);
                opened += usize::from(!is_open && tick * 100 >= WARM_UP.0);
                fleet.get_mut(&to).unwrap().handle_heartbeat(now, &heartbeat);
            }
        }
    }
    for members in fleet.values() {
        assert_eq!(members.live_count(), count);
    }
    opened
}

#[test]
fn heartbeats_of_an_unchanged_fleet_open_no_connections() {
    for count in [9, 67, 295] {
        assert_eq!(connections_opened(count), 0, "{count} routers");
    }
}
