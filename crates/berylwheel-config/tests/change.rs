//! Configuration changes: conflicts, retries after a lost response, validation, rollback and
//! history.

mod common;

use berylwheel_config::Change;
use berylwheel_config::ChangeAction;
use berylwheel_config::HISTORY_LIMIT;
use berylwheel_config::Outcome;
use berylwheel_config::PARTS;
use berylwheel_config::Proposal;
use berylwheel_config::Root;
use berylwheel_config::Transaction;
use berylwheel_config::diff;
use berylwheel_config::outcome;
use berylwheel_config::propose;
use berylwheel_settings::Edit;
use berylwheel_settings::Settings;
use berylwheel_types::Code;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use berylwheel_types::Version;
use common::FakeStore;
use expect_test::expect;

const NOW: Timestamp = Timestamp::from_millis(5);

fn change(id: &str, base: u64, action: ChangeAction) -> Change {
    let author = "ana".to_owned();
    Change { id: id.parse().unwrap(), base: Version(base), author, action }
}

fn edit(section: &str, key: &str, value: Option<&str>) -> ChangeAction {
    ChangeAction::Edit(vec![Edit {
        section: section.parse().unwrap(),
        key: key.to_owned(),
        value: value.map(str::to_owned),
    }])
}

fn transaction(current: Option<&Transaction>, change: &Change) -> Result<Transaction, Refusal> {
    match propose(current.map(|c| (&c.root, &c.settings)), change, NOW)? {
        Proposal::Write(transaction) => Ok(*transaction),
        Proposal::Accepted(version) => panic!("accepted before as {version}"),
    }
}

fn first_transaction() -> Transaction {
    let text = "[fleet]\nqueue = 1\n[kind a]\nservice = plain\nrepeat = never\n";
    let settings = Settings::parse("a", text).unwrap();
    transaction(None, &change("c1", 0, ChangeAction::Replace(settings))).unwrap()
}

#[test]
fn conflicting_change_is_refused_with_the_accepted_changes() {
    let first = first_transaction();
    let accepted = change("c2", 1, edit("fleet", "queue", Some("2")));
    let second = transaction(Some(&first), &accepted).unwrap();
    let third =
        transaction(Some(&second), &change("c3", 2, edit("kind a", "price", Some("7")))).unwrap();
    let rejected = change("c4", 1, edit("fleet", "queue", Some("4")));
    let refusal = transaction(Some(&third), &rejected).unwrap_err();
    assert_eq!(refusal.code, Code::ChangeConflict);
    expect!["1403 another change was accepted first: the change is based on version 1, but version 3 is in force; version 2 by ana: [fleet] queue: 1 -> 2; version 3 by ana: [kind a] price: (unset) -> 7"].assert_eq(&refusal.to_string());
    assert_eq!(outcome(Some(&third.root), &rejected), Outcome::Conflict(refusal));
    // The responses to both writes were lost, and later changes were accepted since then.
    assert_eq!(outcome(Some(&third.root), &accepted), Outcome::Accepted(Version(2)));
    assert_eq!(outcome(Some(&first.root), &accepted), Outcome::Pending);
}

#[test]
fn invalid_changes_are_refused_with_a_reason() {
    let first = first_transaction();
    let router = Settings::parse(
        "a",
        "[router]\nname = r\ndomain = d\nlisten = 0.0.0.0:0\nadmin = 0.0.0.0:0\n\
         peer = 0.0.0.0:0\nstore = 1.1.1.1:1\nca = a\ncert = b\nkey = c\n",
    );
    let actions = [
        edit("kind a", "queeu", Some("5")),
        edit("fleet", "ledger_pages", Some("128")),
        edit("fleet", "queue", Some("1")),
        ChangeAction::Replace(router.unwrap()),
    ];
    let refuse = |action| {
        let refusal = transaction(Some(&first), &change("c2", 1, action)).unwrap_err();
        assert_eq!(refusal.code, Code::InvalidSetting);
        refusal.to_string() + "\n"
    };
    expect![[r#"
        1404 invalid setting: a: [kind a] queeu: unknown key, expected a key of [kind NAME]; did you mean `queue`?
        1404 invalid setting: [fleet] ledger_pages: found 128, expected 64, which is fixed once budgets exist
        1404 invalid setting: the change does not modify any setting
        1404 invalid setting: [router] belongs in the router's own file, not in the configuration
    "#]].assert_eq(&actions.map(refuse).concat());
}

#[test]
fn rollback_restores_earlier_settings_as_a_new_version() {
    let mut store = FakeStore::default();
    let mut current = first_transaction();
    assert!(store.commit(&current));
    let original = current.settings.clone();
    for (id, action) in [
        ("c2", edit("kind a", "price", Some("7"))),
        ("c3", edit("workspace w", "", Some(""))),
        ("c4", edit("fleet", "queue", None)),
    ] {
        current = transaction(Some(&current), &change(id, current.root.version.0, action)).unwrap();
        assert!(store.commit(&current));
    }
    let lines: Vec<String> =
        diff(&original, &current.settings).iter().map(|d| d.to_string() + "\n").collect();
    expect![[r#"
        [fleet] queue: 1 -> (unset)
        [kind a] price: (unset) -> 7
        [workspace w] added
    "#]]
    .assert_eq(&lines.concat());
    let root = Root::from_json(&current.root.to_json()).unwrap();
    assert_eq!(root, current.root);
    let (_, parts) = store.parts(&root.parts_of(Version(1)).unwrap()).unwrap();
    let old = berylwheel_config::join(&parts).unwrap();
    let rollback =
        transaction(Some(&current), &change("c5", 4, ChangeAction::Replace(old))).unwrap();
    assert_eq!(rollback.root.version, Version(5));
    assert_eq!(rollback.settings.to_ini(), original.to_ini());
    assert!(root.parts_of(Version(9)).is_err());
}

#[test]
fn history_and_stored_parts_are_limited() {
    let mut store = FakeStore::default();
    let mut current = first_transaction();
    assert!(store.commit(&current));
    for number in 2..300_u64 {
        // Values repeat, so a part that is due for deletion may be in use again by a later version.
        let section = format!("workspace w{}", number % 7);
        let value = (number % 3 + 1).to_string();
        let mut action = edit(&section, "in_flight", Some(&value));
        if number % 11 == 0 {
            action = edit("fleet", "queue", Some(&number.to_string()));
        }
        let next = change(&format!("c{number}"), current.root.version.0, action);
        current = match propose(Some((&current.root, &current.settings)), &next, NOW) {
            Ok(Proposal::Write(next)) => *next,
            _ => continue,
        };
        assert!(store.commit(&current));
        assert!(
            store.is_history_readable(),
            "a version in the history cannot be read after change {number}"
        );
    }
    assert!(current.root.version > Version(2 * HISTORY_LIMIT as u64), "{}", current.root.version);
    assert_eq!(current.root.history.len(), HISTORY_LIMIT);
    assert!(store.part_count() <= PARTS as usize + HISTORY_LIMIT, "{} parts", store.part_count());
}
