//! Guards against an accepted configuration that takes no effect because of one of its values.

use berylwheel_settings::Settings;
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = *b"berylwheel adopted settings 0001";

/// Checks each repair: to the nearest bound, to the default, or without the section.
#[test]
fn values_that_cannot_be_used_are_repaired_by_themselves() {
    let digest = |n: u32| format!("{n:064x}");
    let text = format!(
        "[fleet]\nbody_limit = 999MB\nidle_time = -1.5s\nqueue = some\nnew = 3\n\
         [pool p]\nconnections = 99999999999999999999999999\n\
         [kind k]\nservice = plain\nrepeat = once\nhost = h.example\npath = /a/\npools = p\n\
         deadline = 10m\nattempts = 17\n\
         [kind l]\nservice = plain\nhost = h.example\npath = b\npools = p\nrepeat = once\n\
         [workspace w]\nkey.a = {}\nkey.b = {}\nin_flight = 0\n\
         [workspace v]\nkey.a = {}\nkey.c = {}\n\
         [odd]\nx = 1\nno entry\n",
        digest(1),
        digest(2),
        digest(1),
        digest(3),
    );
    let adopted = Settings::adopt("accepted", &text).unwrap();
    expect![[r#"
        [fleet]
        body_limit = 64MB
        idle_time = 100ms

        [kind k]
        attempts = 16
        deadline = 10m
        host = h.example
        path = /a/
        pools = p
        repeat = once
        service = plain

        [workspace v]
        key.c = 0000000000000000000000000000000000000000000000000000000000000003

        [workspace w]
        in_flight = 1
        key.b = 0000000000000000000000000000000000000000000000000000000000000002

        [pool p]
        connections = 100000
    "#]]
    .assert_eq(&adopted.settings.to_ini());
    let repairs: Vec<String> = adopted.repairs.iter().map(ToString::to_string).collect();
    assert_eq!(repairs.len(), 13, "{repairs:#?}");
}

/// Checks that a configuration without errors is adopted as it is.
#[test]
fn valid_configuration_is_adopted_unchanged() {
    let text = "[fleet]\nqueue = 5\n[workspace w]\nmax_tokens = 100\n";
    let adopted = Settings::adopt("accepted", text).unwrap();
    assert!(adopted.repairs.is_empty());
    assert_eq!(adopted.settings.to_ini(), Settings::parse("a", text).unwrap().to_ini());
}

/// Guards against a text that cannot be adopted, and against adopted settings that peers cannot parse.
#[test]
fn any_text_is_adopted_and_can_be_parsed_again() {
    let words = prop::sample::select(vec![
        "[fleet]\n",
        "[kind a]\nservice = plain\n",
        "repeat = once\n",
        "repeat = never\n",
        "host = h\n",
        "path = /\n",
        "path = x\n",
        "pools = p:1, q\n",
        "pools = p:99999999999\n",
        "[pool p]\n",
        "[pool q]\n",
        "[workspace w]\n",
        "[workspace w kind a]\n",
        "[rank urgent]\nfloor = 99%\n",
        "[server s]\n",
        "[router]\n",
        "deadline = 400s\n",
        "deadline = -1s\n",
        "request_limit = 5s\n",
        "drain_limit = 1s\n",
        "tokens = 9999999999999999999\n",
        "max_tokens = 0\n",
        "models = m, m\n",
        "key.a = 00\n",
        "budget = x y\n",
        "attempts = 0\n",
        "\u{1}\n",
        "a\\b = c\n",
    ]);
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let texts = prop::collection::vec(words, 0..40).prop_map(|words| words.concat());
    TestRunner::new_with_rng(config, rng)
        .run(&texts, |text| {
            let adopted = Settings::adopt("accepted", &text);
            prop_assert!(adopted.is_ok(), "{}", adopted.unwrap_err());
            let ini = adopted.unwrap().settings.to_ini();
            prop_assert_eq!(Settings::parse("again", &ini).unwrap().to_ini(), ini);
            Ok(())
        })
        .unwrap();
}
