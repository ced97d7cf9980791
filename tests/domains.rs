//! Failure domains that an operator evacuates by command.

mod support;

use std::process::Command;

use http_types::Method;
use serde_json::Value;
use support::Fleet;
use support::OPERATOR_KEY;
use support::Response;
use support::caller_request;
use support::chat_request;
use support::send;
use support::wait_until;

/// Runs `berylwheel domain` at a router, and returns its output or the message of its failure.
fn run_domain(fleet: &Fleet, router: usize, args: &[&str]) -> Result<String, String> {
    let output = Command::new(env!("CARGO_BIN_EXE_berylwheel"))
        .arg("domain")
        .args(args)
        .env("BERYLWHEEL_ADDRESS", fleet.admin(router).to_string())
        .env("BERYLWHEEL_OPERATOR_KEY", OPERATOR_KEY)
        .output()
        .expect("the binary starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    match output.status.success() {
        true => Ok(text(&output.stdout)),
        false => Err(text(&output.stderr)),
    }
}

/// Returns name, number of servers and state of each domain.
fn list(fleet: &Fleet, router: usize) -> Vec<(String, u64, bool)> {
    let text = run_domain(fleet, router, &["list"]).expect("the domains are listed");
    let listed: Value = serde_json::from_str(&text).expect("a JSON document");
    let row = |row: &Value| {
        let name = row["domain"].as_str().unwrap_or_default().to_owned();
        let servers = row["servers"].as_u64().unwrap_or_default();
        (name, servers, row["evacuated"] == true)
    };
    listed.as_array().expect("a list").iter().map(row).collect()
}

fn wait_for_states(fleet: &Fleet, states: [bool; 2]) {
    for router in 0..2 {
        wait_until("the router knows the domains", || {
            let listed: Vec<bool> = list(fleet, router).iter().map(|(_, _, is)| *is).collect();
            (listed == states).then_some(())
        });
    }
}

fn look_up(fleet: &Fleet, router: usize) -> Response {
    send(fleet.router(router), caller_request(Method::Get, "/services/stock/stock/a", None, ""))
}

fn chat(fleet: &Fleet, router: usize) -> Response {
    send(fleet.router(router), chat_request(5, false, None))
}

/// Guards against evacuations by command that do not reach all routers, against accepting a
/// misspelled name, and against requests that wait for the servers of an evacuated domain.
#[test]
fn commands_evacuate_and_restore_domains() {
    let fleet = Fleet::start("domains", 2, &[], 1_000_000);
    let rows = [("d0".to_owned(), 2, false), ("d1".to_owned(), 1, false)];
    assert_eq!(list(&fleet, 0), rows);
    let unknown = run_domain(&fleet, 0, &["evacuate", "d7"]).expect_err("no such domain");
    assert!(unknown.contains("1404") && unknown.contains("d0, d1"), "{unknown}");

    run_domain(&fleet, 0, &["evacuate", "d0"]).expect("the domain is evacuated");
    wait_for_states(&fleet, [true, false]);
    for router in 0..2 {
        let refused = look_up(&fleet, router);
        let state = refused.execution_state();
        assert_eq!((refused.code(), state.as_str()), (1326, "not-run"), "{refused:?}");
        for _ in 0..5 {
            let served = chat(&fleet, router);
            assert_eq!(served.status, 200, "{served:?}");
        }
    }
    run_domain(&fleet, 1, &["evacuate", "d1"]).expect("the domain is evacuated");
    wait_for_states(&fleet, [true, true]);
    assert_eq!(chat(&fleet, 0).code(), 1326);

    run_domain(&fleet, 1, &["restore", "d0"]).expect("the domain is restored");
    run_domain(&fleet, 1, &["restore", "d1"]).expect("the domain is restored");
    wait_for_states(&fleet, [false, false]);
    for router in 0..2 {
        assert_eq!(look_up(&fleet, router).status, 200);
        assert_eq!(chat(&fleet, router).status, 200);
    }
}
