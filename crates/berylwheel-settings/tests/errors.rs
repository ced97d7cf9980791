//! Guards against error messages that do not point to the faulty line, and against invalid files
//! that are accepted.

use berylwheel_settings::Edit;
use berylwheel_settings::SectionName;
use berylwheel_settings::Settings;
use expect_test::Expect;
use expect_test::expect;

fn assert_errors(text: &str, expected: Expect) {
    match Settings::parse("fleet.ini", text) {
        Ok(settings) => panic!("accepted:\n{}", settings.to_ini()),
        Err(errors) => expected.assert_eq(&format!("{errors}\n")),
    }
}

const DIGEST: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

#[test]
fn all_errors_are_reported_at_once() {
    let text = "queue = 3
[fleet]
queue = -1
quue_bytes = 1MB
body_limit = 5GB
price = 3
[fleet]
queue = 9
garbage
[rank urgent]
[fleet]
quue = 1
[knid chat]
models = a
[kind chat]
service = motor
";
    assert_errors(
        text,
        expect![[r#"
            fleet.ini:1: queue: key outside a section, expected a [SECTION]
            fleet.ini:3: [fleet] queue: found `-1`, expected a whole number from 0 to 1000000
            fleet.ini:4: [fleet] quue_bytes: unknown key, expected a key of [fleet]; did you mean `queue_bytes`?
            fleet.ini:5: [fleet] body_limit: found `5GB`, expected a size from 1KB to 64MB, such as 512, 64KB or 1MB
            fleet.ini:6: [fleet] price: key not valid in [fleet], expected it in [kind NAME] or [workspace NAME kind KIND]
            fleet.ini:7: [fleet]: duplicate section, first defined on line 2, expected each section once
            fleet.ini:8: [fleet] queue: duplicate key, first set on line 3, expected each key once
            fleet.ini:9: line `garbage`, expected [SECTION], KEY = VALUE or a comment line, without control characters
            fleet.ini:11: [fleet]: duplicate section, first defined on line 2, expected each section once
            fleet.ini:12: [fleet] quue: unknown key, expected a key of [fleet]; did you mean `queue`?
            fleet.ini:13: [knid chat]: unknown section, expected router, fleet, rank NAME, kind NAME, workspace NAME, workspace NAME kind KIND, pool NAME, domain NAME, server NAME or operator NAME; did you mean `kind chat`?
            fleet.ini:16: [kind chat] service: found `motor`, expected engine or plain
        "#]],
    );
}

#[test]
fn broken_references_are_reported() {
    let text = format!(
        "[kind chat]
service = engine
models = large
[kind plan]
service = engine
models = large
[kind stock]
service = plain
models = x
[workspace shop kind chatt]
rank = urgent
[workspace shop]
budgets = trial
key.a = {DIGEST} trail
key.b = {DIGEST}
[server s]
address = 10.0.0.1:0
kinds = chat, stok
models = larg
domain = a
"
    );
    assert_errors(
        &text,
        expect![[r#"
            fleet.ini:6: [kind plan] models: model `large` is also in [kind chat], expected each model in one kind only
            fleet.ini:7: [kind stock] repeat: missing, expected idempotent, never, by-key or once, since the service is plain
            fleet.ini:9: [kind stock] models: found `x`, expected no models, since the service is plain
            fleet.ini:10: [workspace shop kind chatt]: no section [kind chatt], expected an existing kind; did you mean `kind chat`?
            fleet.ini:14: [workspace shop] key.a: no budget `trail`, expected a budget listed in `budget` or `budgets`; did you mean `trial`?
            fleet.ini:15: [workspace shop] key.b: same digest as [workspace shop] key.a, expected a key that no other caller or operator has
            fleet.ini:17: [server s] address: found `10.0.0.1:0`, expected an address IP:port with a port above 0, such as 127.0.0.1:8080
            fleet.ini:18: [server s] kinds: no section [kind stok], expected an existing kind; did you mean `kind stock`?
            fleet.ini:19: [server s] models: no model `larg`, expected a model of the server's kinds; did you mean `large`?
        "#]],
    );
}

#[test]
fn inconsistent_values_are_reported() {
    let text = "[fleet]
request_limit = 30s
drain_limit = 30s
[rank urgent]
floor = 70%
[kind chat]
service = engine
models = m, m
deadline = 31s
max_tokens = 99999999999999999999
[kind a/b]
service = plain
[router]
name = r1
peers = r1=10.0.0.1:1, r2=10.0.0.2:2, r2=10.0.0.3:3
";
    assert_errors(
        text,
        expect![[r#"
            fleet.ini:2: [fleet] request_limit: found `30s`, expected at least the default deadline, or an explicit deadline in [fleet]
            fleet.ini:3: [fleet] drain_limit: drain_limit 30s, request_limit 30s, expected a drain_limit above the request_limit
            fleet.ini:5: [rank urgent] floor: floors add up to 110.0%, expected at most 100% across the three ranks
            fleet.ini:8: [kind chat] models: found `m, m`, expected a list of names, each once, such as a, b
            fleet.ini:9: [kind chat] deadline: found `31s`, expected at most the request_limit, 30s
            fleet.ini:10: [kind chat] max_tokens: found `99999999999999999999`, expected a number of tokens from 1 to 1000000000, such as 500, 20k or 3M
            fleet.ini:11: [kind a/b]: unknown section, expected a name without a slash
            fleet.ini:13: [router] domain: missing, expected a name of letters, digits or any of - _ . : /
            fleet.ini:13: [router] listen: missing, expected an address IP:port, such as 127.0.0.1:8080
            fleet.ini:13: [router] admin: missing, expected an address IP:port, such as 127.0.0.1:8080
            fleet.ini:13: [router] peer: missing, expected an address IP:port, such as 127.0.0.1:8080
            fleet.ini:13: [router] store: missing, expected a list of addresses IP:port, such as 10.0.0.1:2379, 10.0.0.2:2379
            fleet.ini:13: [router] ca: missing, expected the path of a file
            fleet.ini:13: [router] cert: missing, expected the path of a file
            fleet.ini:13: [router] key: missing, expected the path of a file
            fleet.ini:15: [router] peers: found `r1`, expected each of the other routers once, and not this router
            fleet.ini:15: [router] peers: found `r2`, expected each of the other routers once, and not this router
        "#]],
    );
}

#[test]
fn malformed_lines_do_not_hide_other_errors() {
    let text = "[fleet]\nqueue: 5\nregion\\\nqueue = 5 ; inline\n[kind [x]]\n = 3\nqueue_bytes =\n";
    assert_errors(
        text,
        expect![[r#"
            fleet.ini:2: line `queue: 5`, expected [SECTION], KEY = VALUE or a comment line, without control characters
            fleet.ini:3: line `region\`, expected [SECTION], KEY = VALUE or a comment line, without control characters
            fleet.ini:4: [fleet] queue: found `5 ; inline`, expected a whole number from 0 to 1000000
            fleet.ini:5: line `[kind [x]]`, expected [SECTION], KEY = VALUE or a comment line, without control characters
            fleet.ini:6: line `= 3`, expected [SECTION], KEY = VALUE or a comment line, without control characters
            fleet.ini:7: [fleet] queue_bytes: no value, expected a size from 0B to 4096MB, such as 512, 64KB or 1MB
        "#]],
    );
}

#[test]
fn edit_cannot_inject_lines() {
    let errors = Settings::parse("fleet.ini", "[router]\n").unwrap_err();
    assert!(!errors.0.is_empty());
    let settings = Settings::parse("fleet.ini", "[fleet]\nqueue = 5\n").unwrap();
    let section = "fleet".parse().unwrap();
    let value = format!("5\n[operator eve]\nkey = {DIGEST}");
    let edit = Edit { section, key: "queue".to_owned(), value: Some(value) };
    let errors = settings.edit(&[edit]).unwrap_err();
    expect![[r#"
        fleet.ini: [fleet] queue: key or value does not fit on one line, expected KEY = VALUE without line breaks and control characters
    "#]].assert_eq(&format!("{errors}\n"));
    let section = SectionName::Operator("eve]\n[operator mal".to_owned());
    let edit = Edit { section, key: "key".to_owned(), value: Some(DIGEST.to_owned()) };
    assert!(settings.edit(&[edit]).is_err(), "a section name must not inject lines");
}
