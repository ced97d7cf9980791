//! Reloading of certificates on SIGHUP.

mod support;

use std::fs;
use std::path::Path;

use serde_json::Value;
use support::Fleet;
use support::get;
use support::run_command;
use support::wait_until;

fn dump(fleet: &Fleet, i: usize) -> Value {
    get(fleet.admin(i), "/dump").json()
}

/// Waits until router `i` counts exactly `count` live routers, including itself.
fn wait_live_count(fleet: &Fleet, i: usize, count: usize) {
    wait_until(&format!("r{i} counts {count} live routers"), || {
        let live = dump(fleet, i)["fleet"]["live"].as_array().map(Vec::len);
        (live == Some(count)).then_some(())
    });
}

fn make_certificates(directory: &Path, names: &[&str]) {
    let out = directory.display().to_string();
    run_command(&[&["certificates", "--out", &out][..], names].concat());
}

/// Returns the number of messages that router `i` has received since it started.
fn messages_received(fleet: &Fleet, i: usize) -> u64 {
    dump(fleet, i)["fleet"]["link"]["messages_in"].as_u64().expect("a count")
}

/// Guards against certificate changes that need a restart, and against accepting a router with a
/// certificate of another authority as a member.
#[test]
fn routers_reload_certificates_of_a_new_authority_on_sighup() {
    let fleet = Fleet::start("reload", 3, &[], 1_000);
    (0..3).for_each(|i| wait_live_count(&fleet, i, 3));

    // The router with the new authority is disconnected from the other two.
    let directory = fleet.directory();
    make_certificates(directory, &["r0", "r1", "r2"]);
    fleet.routers[2].signal("HUP");
    wait_live_count(&fleet, 2, 1);
    wait_live_count(&fleet, 0, 2);
    wait_live_count(&fleet, 1, 2);

    // All routers use the new authority.
    fleet.routers[0].signal("HUP");
    fleet.routers[1].signal("HUP");
    (0..3).for_each(|i| wait_live_count(&fleet, i, 3));
}

/// Guards against invalid certificate files that disconnect a router from the fleet.
#[test]
fn invalid_certificate_files_are_ignored() {
    let fleet = Fleet::start("reload_wrong", 2, &[], 1_000);
    (0..2).for_each(|i| wait_live_count(&fleet, i, 2));
    let file = |name: &str| fleet.directory().join(name);
    let (pem, key) = (file("r0.pem"), file("r0.key"));
    let original = [&pem, &key].map(|path| fs::read(path).expect("a file"));
    let other = ["r1.pem", "r1.key"].map(|name| fs::read(file(name)).expect("a file"));
    // Not PEM, the certificate and key of another router, and a key that does not match the
    // certificate.
    let invalid = [
        [b"no certificate".to_vec(), original[1].clone()],
        other.clone(),
        [original[0].clone(), other[1].clone()],
    ];
    for contents in &invalid {
        fs::write(&pem, &contents[0]).expect("a file is written");
        fs::write(&key, &contents[1]).expect("a file is written");
        fleet.routers[0].signal("HUP");
        let before = messages_received(&fleet, 1);
        wait_until("r1 receives messages of r0 after the signal", || {
            (messages_received(&fleet, 1) > before + 3).then_some(())
        });
        (0..2).for_each(|i| wait_live_count(&fleet, i, 2));
    }
}
