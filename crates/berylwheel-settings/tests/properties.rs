//! Guards against input that makes the parser panic, and against settings that change when they are
//! printed and parsed again.

use std::collections::BTreeSet;

use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = *b"berylwheel settings properties 1";

fn runner(cases: u32) -> TestRunner {
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Random sequences of settings syntax, and arbitrary text.
fn random_text() -> impl Strategy<Value = String> {
    let words = prop::sample::select(vec![
        "[",
        "]",
        "=",
        ":",
        "\n",
        "\r\n",
        "\\",
        "#",
        ";",
        " ",
        ",",
        "\"",
        "\t",
        "\u{b}",
        "é",
        "[fleet]\n",
        "[kind a]\n",
        "[workspace w]\n",
        "[workspace w kind a]\n",
        "[router]\n",
        "[server s]\n",
        "[rank urgent]\n",
        "queue",
        "service = engine\n",
        "models = a, b\n",
        "deadline = 3s",
        "floor = 99%\n",
        "peers = r1=1.2.3.4:5,",
        "key.x = ",
        "99999999999999999999",
    ]);
    prop_oneof![
        prop::collection::vec(words, 0..60).prop_map(|words| words.concat()),
        any::<String>(),
    ]
}

/// Random valid settings.
fn valid_settings() -> impl Strategy<Value = String> {
    let kind = (0u8..4, prop::option::of(1u32..200), any::<bool>());
    let workspace = (0u8..4, prop::option::of(1u32..9_000), any::<bool>());
    (prop::collection::vec(kind, 1..4), prop::collection::vec(workspace, 0..4)).prop_map(
        |(kinds, workspaces)| {
            let mut text = "# comment\n[fleet]\nqueue=7\n".to_owned();
            let mut seen = BTreeSet::new();
            for (id, limit, engine) in kinds.into_iter().filter(|kind| seen.insert(kind.0)) {
                let models = format!("service = engine\nmodels = m{id}, n{id}\n");
                let service = if engine { &models } else { "service=plain\nrepeat =  never\n" };
                text += &format!("[kind  k{id}]\n{service}");
                text += &limit.map(|n| format!("concurrency = {n}\n")).unwrap_or_default();
            }
            let first = seen.first().copied().unwrap_or_default();
            let mut seen = BTreeSet::new();
            for (id, tokens, own) in workspaces.into_iter().filter(|w| seen.insert(w.0)) {
                text += &format!("\n[workspace w{id}]\nkey.a = {id}{:063x}\n", 0);
                text += &tokens.map(|n| format!("max_tokens = {n}\n")).unwrap_or_default();
                if own {
                    text += &format!("[workspace w{id} kind k{first}]\nrank = batch\n");
                }
            }
            text
        },
    )
}

#[test]
fn parse_never_panics() {
    runner(4_000)
        .run(&random_text(), |text| {
            if let Err(errors) = Settings::parse("random", &text) {
                prop_assert!(!errors.0.is_empty());
                prop_assert!(errors.0.iter().all(|error| error.line <= text.lines().count()));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn printed_settings_parse_to_the_same_values() {
    runner(1_000)
        .run(&valid_settings(), |text| {
            let first = Settings::parse("a", &text).unwrap_or_else(|e| panic!("{e}\n{text}"));
            let second = Settings::parse("b", &first.to_ini()).unwrap();
            prop_assert_eq!(first.to_ini(), second.to_ini());
            prop_assert_eq!(first.effective(), second.effective());
            prop_assert_eq!(first.kinds(), second.kinds());
            prop_assert_eq!(first.workspaces(), second.workspaces());
            Ok(())
        })
        .unwrap();
}

#[test]
fn printed_edits_parse_to_the_same_values() {
    let values = prop_oneof![random_text(), "[ -~]{0,20}", Just("/etc/a b#;=\"c".to_owned())];
    let keys = prop::sample::select(vec!["ca", "name", "queue", "key.a", "[x]", "#", "a=b", "a:b"]);
    let router = "[router]\nname = r\ndomain = d\nlisten = 0.0.0.0:0\nadmin = 0.0.0.0:0\n\
                  peer = 0.0.0.0:0\nstore = 1.1.1.1:1\nca = a\ncert = b\nkey = c\n";
    let settings = Settings::parse("a", router).unwrap();
    runner(4_000)
        .run(&(keys, values), |(key, value)| {
            let section = "router".parse().unwrap();
            let edit = Edit { section, key: key.to_owned(), value: Some(value) };
            if let Ok(edited) = settings.edit(&[edit]) {
                let again = Settings::parse("b", &edited.to_ini());
                let again = again.map_err(|e| TestCaseError::fail(e.to_string()))?;
                prop_assert_eq!(edited.effective(), again.effective());
            }
            Ok(())
        })
        .unwrap();
}
