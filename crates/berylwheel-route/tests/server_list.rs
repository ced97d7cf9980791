//! The platform's server list, through outages of its store.

mod support;

use berylwheel_route::ListedServer;
use berylwheel_route::ServerList;
use berylwheel_route::ServerListEvent;
use berylwheel_route::ServerStatus;
use berylwheel_types::Millis;
use support::at;
use support::id;
use support::service;

const EXPIRY_GRACE: Millis = Millis(2_000);

fn entry(name: &str) -> ListedServer {
    ListedServer {
        server: service(name, "chat", 4),
        status: ServerStatus::Ready,
        started_at: Some(1),
        cold_for: None,
    }
}

fn usable_names(list: &mut ServerList, ms: u64) -> Option<String> {
    let change = list.poll(at(ms))?;
    let names: Vec<String> = change.servers.iter().map(|server| server.id.to_string()).collect();
    Some(names.join(" "))
}

fn list_of(names: &[&str]) -> ServerList {
    let mut list = ServerList::new(EXPIRY_GRACE);
    list.apply(at(0), ServerListEvent::All(names.iter().map(|name| entry(name)).collect()));
    list.poll(at(0));
    list
}

/// Guards against using a server that is draining, or whose entry was removed or cannot be read.
#[test]
fn draining_and_removed_servers_are_not_usable() {
    let mut list = list_of(&["a", "b", "c"]);
    let draining = ListedServer { status: ServerStatus::Draining, ..entry("a") };
    list.apply(at(10), ServerListEvent::Changed(Box::new(draining)));
    let change = list.poll(at(10)).unwrap();
    assert_eq!(change.removed, [id("a")]);
    list.apply(at(20), ServerListEvent::Removed(id("b")));
    assert_eq!(usable_names(&mut list, 20).as_deref(), Some("c"));
    assert_eq!(usable_names(&mut list, 21), None);
}

/// Guards against dropping live servers whose entries expired while the store was down.
#[test]
fn entries_that_expired_in_an_outage_stay_usable_for_the_grace_period() {
    let mut list = list_of(&["a", "b"]);
    list.apply(at(100), ServerListEvent::StoreFailed);
    list.apply(at(4_000), ServerListEvent::StoreFailed);
    list.apply(at(5_000), ServerListEvent::All(vec![]));
    assert_eq!(usable_names(&mut list, 5_000).as_deref(), Some("a b"));
    list.apply(at(6_000), ServerListEvent::Changed(Box::new(entry("a"))));
    assert_eq!(usable_names(&mut list, 7_000).as_deref(), Some("a"));
}

/// Guards against using a server that shuts down just after an outage for as long as expired
/// entries are kept: it must get no requests two seconds after it announced its shutdown.
#[test]
fn an_entry_removed_after_an_outage_stays_usable_for_one_second() {
    let mut list = list_of(&["a", "b"]);
    list.apply(at(100), ServerListEvent::StoreFailed);
    list.apply(at(5_000), ServerListEvent::All(vec![entry("a"), entry("b")]));
    list.poll(at(5_000));
    list.apply(at(5_100), ServerListEvent::Removed(id("b")));
    assert_eq!(usable_names(&mut list, 6_100).as_deref(), Some("a"));
}

/// Guards against using a server whose entry was removed during a short store failure, such as a
/// broken watch: no entry can expire in one.
#[test]
fn a_short_store_failure_gives_no_grace_period() {
    let mut list = list_of(&["a", "b"]);
    list.apply(at(100), ServerListEvent::StoreFailed);
    list.apply(at(500), ServerListEvent::All(vec![entry("a")]));
    assert_eq!(usable_names(&mut list, 500).as_deref(), Some("a"));
}

/// Guards against keeping the state of a server process for its successor under the same id.
#[test]
fn a_later_start_time_reports_a_restart() {
    let mut list = list_of(&["a"]);
    list.apply(
        at(10),
        ServerListEvent::Changed(Box::new(ListedServer { started_at: Some(2), ..entry("a") })),
    );
    assert_eq!(list.poll(at(10)).unwrap().restarted, [id("a")]);
    list.apply(
        at(20),
        ServerListEvent::Changed(Box::new(ListedServer { started_at: Some(1), ..entry("a") })),
    );
    assert!(list.poll(at(20)).unwrap().restarted.is_empty());
}

/// Guards against using a server whose entry was replaced by one that names none, also while
/// missing entries may still be renewed after an outage.
#[test]
fn replaced_entry_is_unusable_at_once() {
    let mut list = ServerList::new(EXPIRY_GRACE);
    list.apply(at(0), ServerListEvent::All(vec![entry("a"), entry("b")]));
    list.apply(at(100), ServerListEvent::StoreFailed);
    list.apply(at(5_000), ServerListEvent::All(vec![entry("b")]));
    list.apply(at(5_000), ServerListEvent::Replaced(id("a")));
    let change = list.poll(at(5_000)).unwrap();
    assert_eq!((change.servers.len(), change.removed), (1, vec![id("a")]));
    list.apply(at(5_100), ServerListEvent::Replaced(id("a")));
    assert_eq!(list.poll(at(5_100)), None);
}

/// Guards against taking an entry that is read again as news of how long its server stays cold, and
/// against replacing the list of usable servers with every renewal of an entry.
#[test]
fn cold_states_are_reported_when_they_are_written() {
    let cold = |ms| ListedServer { cold_for: Some(Millis(ms)), ..entry("a") };
    let mut list = ServerList::new(EXPIRY_GRACE);
    let mut reports = |event| {
        list.apply(at(0), event);
        let reports = list.take_cold_reports();
        let times: Vec<u64> = reports.iter().map(|report| report.remaining.0).collect();
        (times, list.poll(at(0)).is_some())
    };
    let changed = |entry| ServerListEvent::Changed(Box::new(entry));
    assert_eq!(reports(ServerListEvent::All(vec![cold(3_000)])), (vec![3_000], true));
    assert_eq!(reports(ServerListEvent::All(vec![cold(3_000)])), (vec![], true));
    assert_eq!(reports(changed(cold(1_800))), (vec![1_800], false));
    assert_eq!(reports(changed(cold(1_800))), (vec![1_800], false));
    assert_eq!(reports(ServerListEvent::All(vec![cold(600)])), (vec![600], true));
    assert_eq!(reports(changed(entry("a"))), (vec![], false), "not stated");
    assert_eq!(reports(changed(cold(0))), (vec![0], false));
    assert_eq!(reports(ServerListEvent::Removed(id("a"))), (vec![], true));
    assert_eq!(reports(ServerListEvent::All(vec![cold(0)])), (vec![0], true), "listed again");
}
