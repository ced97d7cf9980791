//! Guards against values inherited from the wrong level.

use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use berylwheel_types::Tokens;
use expect_test::expect;

const TEXT: &str = "[fleet]
max_tokens = 1k
queue = 10
connections = 9
[kind chat]
service = engine
models = small
max_tokens = 2k
[kind stock]
service = plain
repeat = idempotent
[workspace shop]
max_tokens = 3k
[workspace shop kind chat]
max_tokens = 4k
deadline = 7s
[workspace bare]
key.till = ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
";

fn max_tokens(settings: &Settings, workspace: &str, kind: &str) -> Option<Tokens> {
    let kind = settings.kind_of(&workspace.parse().unwrap(), &kind.parse().unwrap());
    kind.map(|kind| kind.max_tokens)
}

#[test]
fn most_specific_level_takes_precedence() {
    let settings = Settings::parse("a", TEXT).unwrap();
    assert_eq!(max_tokens(&settings, "shop", "chat"), Some(Tokens(4_000)));
    assert_eq!(max_tokens(&settings, "shop", "stock"), Some(Tokens(3_000)));
    assert_eq!(max_tokens(&settings, "bare", "chat"), Some(Tokens(2_000)));
    assert_eq!(max_tokens(&settings, "bare", "stock"), Some(Tokens(1_000)));
    assert_eq!(max_tokens(&settings, "none", "stock"), None);
    assert_eq!(max_tokens(&settings, "bare", "none"), None);
}

#[test]
fn effective_values_name_their_origin() {
    let settings = Settings::parse("a", TEXT).unwrap();
    let lines: Vec<String> = settings.effective().iter().map(|e| e.to_string() + "\n").collect();
    expect![[r#"
        [fleet] body_limit = 1MB (default)
        [fleet] receive_time = 10s (default)
        [fleet] head_limit = 8KB (default)
        [fleet] idle_time = 60s (default)
        [fleet] request_limit = 300s (default)
        [fleet] drain_limit = 600s (default)
        [fleet] ledger_pages = 64 (default)
        [fleet] connections = 9 ([fleet])
        [fleet] rank = normal (default)
        [fleet] deadline = 60s (default)
        [fleet] queue = 10 ([fleet])
        [fleet] queue_bytes = 16MB (default)
        [fleet] concurrency = 256 (default)
        [fleet] max_tokens = 1k ([fleet])
        [rank urgent] floor = 50% (default)
        [rank urgent] target = 500ms (default)
        [rank normal] floor = 30% (default)
        [rank normal] target = 2s (default)
        [rank batch] floor = 10% (default)
        [rank batch] target = 60s (default)
        [kind chat] service = engine ([kind chat])
        [kind chat] models = small ([kind chat])
        [kind chat] repeat = idempotent (default)
        [kind chat] lookup = no (default)
        [kind chat] connections = 256 (default)
        [kind chat] pools =  (default)
        [kind chat] answer = whole (default)
        [kind chat] resume = no (default)
        [kind chat] attempts = 2 (default)
        [kind chat] target = 1s (default)
        [kind chat] gap = 1s (default)
        [kind chat] open = no (default)
        [kind chat] price = 0 (default)
        [kind chat] rank = normal (default)
        [kind chat] deadline = 60s (default)
        [kind chat] queue = 10 ([fleet])
        [kind chat] queue_bytes = 16MB (default)
        [kind chat] concurrency = 256 (default)
        [kind chat] max_tokens = 2k ([kind chat])
        [kind stock] service = plain ([kind stock])
        [kind stock] models =  (default)
        [kind stock] repeat = idempotent ([kind stock])
        [kind stock] lookup = no (default)
        [kind stock] connections = 256 (default)
        [kind stock] pools =  (default)
        [kind stock] answer = whole (default)
        [kind stock] resume = no (default)
        [kind stock] attempts = 2 (default)
        [kind stock] target = 1s (default)
        [kind stock] gap = 1s (default)
        [kind stock] open = no (default)
        [kind stock] price = 0 (default)
        [kind stock] rank = normal (default)
        [kind stock] deadline = 60s (default)
        [kind stock] queue = 10 ([fleet])
        [kind stock] queue_bytes = 16MB (default)
        [kind stock] concurrency = 256 (default)
        [kind stock] max_tokens = 1k ([fleet])
        [workspace bare] closed = no (default)
        [workspace bare] in_flight = 1024 (default)
        [workspace bare] budget = main (default)
        [workspace bare] budgets =  (default)
        [workspace bare] key.till = ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad ([workspace bare])
        [workspace shop] max_tokens = 3k ([workspace shop])
        [workspace shop] closed = no (default)
        [workspace shop] in_flight = 1024 (default)
        [workspace shop] budget = main (default)
        [workspace shop] budgets =  (default)
        [workspace shop kind chat] price = 0 (default)
        [workspace shop kind chat] rank = normal (default)
        [workspace shop kind chat] deadline = 7s ([workspace shop kind chat])
        [workspace shop kind chat] max_tokens = 4k ([workspace shop kind chat])
    "#]]
    .assert_eq(&lines.concat());
}

#[test]
fn edits_set_and_remove_keys_and_sections() {
    let settings = Settings::parse("a", TEXT).unwrap();
    let edit = |section: &str, key: &str, value: Option<&str>| Edit {
        section: section.parse().unwrap(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
    };
    let edited = settings
        .edit(&[
            edit("workspace shop", "max_tokens", None),
            edit("workspace shop kind chat", "", None),
            edit("workspace new", "", Some("")),
            edit("kind chat", "rank", Some("batch")),
        ])
        .unwrap();
    assert_eq!(max_tokens(&edited, "shop", "chat"), Some(Tokens(2_000)));
    expect![[r#"
        [fleet]
        connections = 9
        max_tokens = 1k
        queue = 10

        [kind chat]
        max_tokens = 2k
        models = small
        rank = batch
        service = engine

        [kind stock]
        repeat = idempotent
        service = plain

        [workspace bare]
        key.till = ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad

        [workspace new]

        [workspace shop]
    "#]]
    .assert_eq(&edited.to_ini());
}

/// Guards against evacuating a domain whose section does not say so, and against printing the section
/// so that it cannot be read again.
#[test]
fn evacuated_domains_are_those_that_say_yes() {
    let text = "[domain d3]\nevacuated = yes\n[domain d1]\nevacuated = yes\n[domain d2]\n\
                [domain d4]\nevacuated = no\n";
    let settings = Settings::parse("fleet.ini", text).unwrap();
    let names: Vec<&str> = settings.evacuated_domains().iter().map(|d| d.as_str()).collect();
    assert_eq!(names, ["d1", "d3"]);
    let again = Settings::parse("fleet.ini", &settings.to_ini()).unwrap();
    assert_eq!(again.evacuated_domains(), settings.evacuated_domains());
    let error = Settings::parse("fleet.ini", "[domain d1]\nevacuated = maybe\n").unwrap_err();
    assert!(error.to_string().contains("[domain d1] evacuated"), "{error}");
}
