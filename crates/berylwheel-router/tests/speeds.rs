//! Routers tell each other how fast servers work.

mod common;

use berylwheel_peer::Message;
use berylwheel_peer::ServerSpeed;
use berylwheel_route::ListedServer;
use berylwheel_route::Server;
use berylwheel_route::ServerStatus;
use berylwheel_route::Work;
use berylwheel_route::WorkClass;
use berylwheel_route::WorkSample;
use berylwheel_types::BackendId;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use common::Fleet;

/// Routers that one router sends heartbeats to in a second, and so tells of speeds.
const HEARTBEAT_PEERS: usize = 8;

fn server(number: usize) -> BackendId {
    format!("e{number}").parse().unwrap()
}

fn pool() -> KindId {
    "desk".parse().unwrap()
}

fn list_servers(fleet: &mut Fleet) {
    let listed = |number: usize| ListedServer {
        server: Server {
            id: server(number),
            address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
            kinds: vec![pool()],
            models: vec![],
            concurrency: 6,
            domain: "a".parse().unwrap(),
        },
        status: ServerStatus::Ready,
        started_at: None,
        cold_for: None,
    };
    fleet.router.list_servers((0..40).map(listed).collect());
    fleet.router.step();
}

fn speeds(sent: Vec<(RouterId, Message)>) -> Vec<Vec<ServerSpeed>> {
    let speeds = sent.into_iter().filter_map(|(_, message)| match message {
        Message::ServerSpeeds { speeds } => Some(speeds),
        _ => None,
    });
    speeds.collect()
}

/// Guards against messages about nothing, and against messages that grow with the fleet or with the
/// number of servers.
#[test]
fn measured_speeds_are_told_once_to_few_routers() {
    for size in [9, 77, 295] {
        let mut fleet = Fleet::new(size);
        list_servers(&mut fleet);
        fleet.hear_of_all();
        fleet.run(3);
        assert!(speeds(fleet.router.take_sent()).is_empty(), "nothing was measured");
        for _ in 0..3 {
            for number in 0..40 {
                let took = Millis(if number == 0 { 200 } else { 60 });
                let sample =
                    WorkSample { work: Work::Plain, took, unfinished: false, stated: Some(100) };
                fleet.router.record_work(&server(number), &pool(), sample);
            }
        }
        fleet.run(1);
        let told = speeds(fleet.router.take_sent());
        assert!((1..=HEARTBEAT_PEERS).contains(&told.len()), "{size} routers: {}", told.len());
        assert!(told.iter().all(|speeds| speeds.len() <= 16));
        fleet.run(5);
        fleet.router.take_sent();
        fleet.run(3);
        assert!(speeds(fleet.router.take_sent()).is_empty(), "told again");
    }
}

/// Guards against a router that ignores what others have measured, or that believes what cannot be.
#[test]
fn speeds_of_other_routers_are_applied_with_care() {
    let mut fleet = Fleet::new(9);
    list_servers(&mut fleet);
    fleet.hear_of_all();
    let entry = |number, class, permille, samples, age| ServerSpeed {
        server: server(number),
        class,
        permille,
        samples,
        age: Millis(age),
    };
    let from = (common::router_id(3), common::peer_address(3));
    let speeds = vec![
        entry(0, 2, 2_500, 4, 100),
        entry(1, 9, 2_500, 4, 100),
        entry(2, 2, 0, 4, 100),
        entry(3, 2, u32::MAX, 4, 100),
        entry(4, 2, 2_500, 0, 100),
        entry(5, 2, 2_500, u32::MAX, u64::MAX),
        entry(900, 2, 2_500, 4, 100),
    ];
    fleet.router.receive(&from.0, from.1, Message::ServerSpeeds { speeds });
    assert!(fleet.router.speed_factor(&server(0), WorkClass::Plain) > 1.5);
    for number in [1, 2, 3, 4, 5, 900] {
        for class in WorkClass::ALL {
            assert_eq!(fleet.router.speed_factor(&server(number), class), 1.0, "e{number}");
        }
    }
}
