//! What one router does must not grow with the size of its fleet while nothing happens.

mod common;

use berylwheel_config::MemberPolicy;
use berylwheel_config::Members;
use berylwheel_peer::Message;
use berylwheel_router::ClaimHomes;
use berylwheel_router::home_router;
use berylwheel_types::BillKey;
use berylwheel_types::Incarnation;
use common::Fleet;
use common::peer_address;
use common::router_id;

/// Entries of other routers that an idle router may examine in a second: those of the eight
/// heartbeats that it sends and receives, with eight entries each.
const IDLE_VISITS: u64 = 64;
/// Reads of the list of routers that all routers together may make in a second: 64 in ten seconds.
const FLEET_LIST_READS: f64 = 6.4;
/// Peers that a router may tell directly about an event; the others learn of it from these.
const NOTIFIED_PEERS: usize = 16;

#[test]
fn idle_router_examines_as_few_entries_in_a_large_fleet() {
    for size in [9, 67, 295, 1_000] {
        let mut fleet = Fleet::new(size);
        fleet.hear_of_all();
        fleet.run(30);
        let before = fleet.router.visits();
        fleet.run(10);
        let a_second = (fleet.router.visits() - before) / 10;
        assert!(a_second <= IDLE_VISITS, "{size} routers: {a_second} entries a second");
    }
}

#[test]
fn planned_stop_does_not_call_every_router() {
    let mut fleet = Fleet::new(295);
    fleet.hear_of_all();
    fleet.run(5);
    fleet.router.take_sent();
    fleet.router.announce_shutdown();
    let leaving = |message: &Message| matches!(message, Message::Heartbeat { draining: true, .. });
    let recipients = fleet.recipients(leaving);
    assert!(!recipients.is_empty(), "nobody is told");
    assert!(recipients.len() <= NOTIFIED_PEERS, "{} routers are told", recipients.len());
}

/// Guards against a router that passes on what it learns of the store to its whole domain.
#[test]
fn news_of_the_store_go_to_few_routers() {
    let mut fleet = Fleet::new(1_000);
    fleet.hear_of_all();
    let mut passed_on = 0;
    // The routers of this one's domain are each fifth.
    for number in (5..1_000).step_by(5) {
        fleet.router.take_sent();
        let origin = Incarnation { router: router_id(number), number: 1 };
        let news = Message::StoreNews { origin, sequence: 1, feeds: Vec::new() };
        fleet.router.receive(&router_id(number), peer_address(number), news.clone());
        let recipients = fleet.recipients(|message| *message == news);
        assert!(recipients.len() <= NOTIFIED_PEERS, "{} routers are told", recipients.len());
        passed_on += usize::from(!recipients.is_empty());
        // A copy that comes by another way is not passed on again.
        fleet.router.receive(&router_id(number), peer_address(number), news.clone());
        assert!(fleet.recipients(|message| *message == news).is_empty());
    }
    assert!(passed_on > 0, "nothing is passed on");
}

/// Guards against routers that disagree about the homes of budgets for minutes after a start: a
/// heartbeat tells of eight routers.
#[test]
fn listed_routers_are_known_before_their_first_heartbeat() {
    let mut fleet = Fleet::new(295);
    fleet.router.step();
    assert_eq!(fleet.router.known_runs(), 294);
}

/// Guards against reads of the list of routers that grow with the square of the fleet.
#[test]
fn the_list_of_routers_is_read_as_often_by_all_routers_of_a_large_fleet() {
    for size in [67, 295, 1_000] {
        let mut fleet = Fleet::new(size);
        fleet.hear_of_all();
        fleet.run(30);
        let reads = |fleet: &Fleet| fleet.router.store_calls()["read routers"];
        let before = reads(&fleet);
        fleet.run(400);
        let a_second = (reads(&fleet) - before) as f64 * size as f64 / 400.0;
        assert!(a_second <= FLEET_LIST_READS, "{size} routers: {a_second} reads a second");
    }
}

/// Guards against a look at all routers for each request that may not be repeated.
#[test]
fn claims_look_at_all_routers_once_a_slot_and_change() {
    let run = |i: usize| format!("r{i}@1").parse().unwrap();
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut members = Members::new(run(0), address, MemberPolicy::default());
    members.set_peers((1..295).map(|i| format!("r{i}").parse().unwrap()));
    let keys: Vec<BillKey> =
        (0..100).map(|i| BillKey::new(&"w".parse().unwrap(), &format!("key{i}"))).collect();
    let mut homes = ClaimHomes::default();
    for size in [295, 200] {
        members.set_peers((1..size).map(|i| format!("r{i}").parse().unwrap()));
        for key in &keys {
            let home = homes.home_of(*key, &members);
            assert_eq!(home.as_ref(), home_router(*key, &members.live()));
        }
        let visits = members.visits();
        for key in &keys {
            homes.home_of(*key, &members);
        }
        assert_eq!(members.visits(), visits, "{size} routers");
    }
}
