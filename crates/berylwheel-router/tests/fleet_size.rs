//! What one router does must not grow with the size of its fleet while nothing happens.

mod common;

use berylwheel_peer::Message;
use common::Fleet;

/// Entries of other routers that an idle router may examine in a second: those of the eight
/// heartbeats that it sends and receives, with eight entries each.
const IDLE_VISITS: u64 = 64;
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

/// Guards against routers that disagree about the homes of budgets for minutes after a start: a
/// heartbeat tells of eight routers.
#[test]
fn listed_routers_are_known_before_their_first_heartbeat() {
    let mut fleet = Fleet::new(295);
    fleet.router.step();
    assert_eq!(fleet.router.known_runs(), 294);
}
