//! Checks of the consistency between several values.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Share;

use crate::Level;
use crate::SectionName;
use crate::SettingError;
use crate::check::suggest;
use crate::raw::Tree;
use crate::read::Chain;
use crate::schema;
use crate::value;

/// Returns all inconsistencies between the values of `tree`.
///
/// Values that are invalid by themselves are skipped, since the schema check reports them.
pub(crate) fn check(tree: &Tree) -> Vec<SettingError> {
    let mut errors = Vec::new();
    for name in tree.sections.keys() {
        match name {
            SectionName::Router => router(tree, &mut errors),
            SectionName::Kind(_) => kind(tree, name, &mut errors),
            SectionName::Workspace(_) => workspace(tree, name, &mut errors),
            SectionName::WorkspaceKind(workspace, kind) => {
                let parents =
                    [SectionName::Workspace(workspace.clone()), SectionName::Kind(kind.clone())];
                for parent in parents {
                    errors.extend(missing_section(tree, name, "", &parent));
                }
            }
            SectionName::Server(_) => server(tree, name, &mut errors),
            SectionName::Fleet
            | SectionName::Rank(_)
            | SectionName::Pool(_)
            | SectionName::Operator(_) => {}
        }
    }
    models(tree, &mut errors);
    digests(tree, &mut errors);
    limits(tree, &mut errors);
    floors(tree, &mut errors);
    errors
}

/// Returns an error if `tree` has no section `wanted`, which `key` of `name` refers to.
fn missing_section(
    tree: &Tree,
    name: &SectionName,
    key: &str,
    wanted: &SectionName,
) -> Option<SettingError> {
    if tree.sections.contains_key(wanted) {
        return None;
    }
    let known: Vec<String> = tree.sections.keys().map(SectionName::to_string).collect();
    let error = tree.error(
        name,
        key,
        format!("no section [{wanted}]"),
        format!(
            "a {} that exists",
            match wanted.level() {
                Level::Kind => "kind",
                Level::Pool => "pool",
                _ => "workspace",
            }
        ),
    );
    Some(SettingError {
        suggestion: suggest(&wanted.to_string(), known.iter().map(String::as_str)),
        ..error
    })
}

fn router(tree: &Tree, errors: &mut Vec<SettingError>) {
    let name = &SectionName::Router;
    let own = tree.get(name, "name");
    let mut seen = Vec::new();
    for item in value::list(tree.get(name, "peers").unwrap_or("")) {
        let Some((peer, _)) = value::peer(item) else {
            continue;
        };
        if own == Some(peer.as_str()) || seen.contains(&peer) {
            errors.push(tree.error(
                name,
                "peers",
                format!("found `{peer}`"),
                "each of the other routers once, and not this router",
            ));
        }
        seen.push(peer);
    }
    certificates(tree, errors);
}

/// Checks that a router has all three certificate files. With the platform adapter it may have
/// none, and then uses the certificate authority in the store.
fn certificates(tree: &Tree, errors: &mut Vec<SettingError>) {
    let name = &SectionName::Router;
    let paths = ["ca", "cert", "key"];
    let given = |key: &&str| tree.get(name, key).is_some();
    if tree.get(name, "adapter") == Some("platform") && !paths.iter().any(given) {
        return;
    }
    for key in paths.iter().filter(|key| !given(key)) {
        errors.push(tree.error(name, key, "missing", "the path of a file"));
    }
}

fn kind(tree: &Tree, name: &SectionName, errors: &mut Vec<SettingError>) {
    forwarding(tree, name, errors);
    let models = tree.get(name, "models").unwrap_or("");
    match tree.get(name, "service") {
        Some("engine") if models.is_empty() => {
            errors.push(tree.error(
                name,
                "models",
                "no models",
                "at least one model of the engine",
            ));
        }
        Some("plain") => {
            if !models.is_empty() {
                let expected = "no models, since the service is plain";
                errors.push(tree.error(name, "models", format!("found `{models}`"), expected));
            }
            if tree.get(name, "repeat").is_none() {
                let expected = "idempotent, never, by-key or once, since the service is plain";
                errors.push(tree.error(name, "repeat", "missing", expected));
            }
        }
        _ => {}
    }
}

/// Checks that a kind that is matched by host and path sets all of `host`, `path` and `pools`, and
/// that its pools exist.
fn forwarding(tree: &Tree, name: &SectionName, errors: &mut Vec<SettingError>) {
    let given = |key| tree.get(name, key).is_some_and(|value| !value.is_empty());
    if !["host", "path", "pools"].into_iter().any(given) {
        return;
    }
    for key in ["host", "path", "pools"].into_iter().filter(|key| !given(key)) {
        let expected = "host, path and pools, since requests are forwarded by host and path";
        errors.push(tree.error(name, key, "missing", expected));
    }
    for (pool, _) in value::list(tree.get(name, "pools").unwrap_or("")).filter_map(value::weight) {
        errors.extend(missing_section(tree, name, "pools", &SectionName::Pool(pool)));
    }
}

fn workspace(tree: &Tree, name: &SectionName, errors: &mut Vec<SettingError>) {
    let own = tree.get(name, "budget").unwrap_or("main");
    let mut budgets: Vec<&str> = value::list(tree.get(name, "budgets").unwrap_or("")).collect();
    budgets.push(own);
    let entries = tree.sections.get(name).into_iter().flat_map(|section| &section.entries);
    for (key, entry) in entries.filter(|(key, _)| key.starts_with(schema::CALLER_KEY)) {
        let Some((_, Some(budget))) = value::caller_key(&entry.value) else {
            continue;
        };
        if !budgets.contains(&budget) {
            let expected = "a budget that the keys `budget` or `budgets` name";
            let error = tree.error(name, key, format!("no budget `{budget}`"), expected);
            let suggestion = suggest(budget, budgets.iter().copied());
            errors.push(SettingError { suggestion, ..error });
        }
    }
}

fn server(tree: &Tree, name: &SectionName, errors: &mut Vec<SettingError>) {
    let mut known = Vec::new();
    let mut engine = false;
    for item in value::list(tree.get(name, "kinds").unwrap_or("")) {
        let Ok(id) = item.parse() else {
            continue;
        };
        let kind = SectionName::Kind(id);
        errors.extend(missing_section(tree, name, "kinds", &kind));
        known.extend(value::list(tree.get(&kind, "models").unwrap_or("")));
        engine |= tree.get(&kind, "service") == Some("engine");
    }
    let models: Vec<&str> = value::list(tree.get(name, "models").unwrap_or("")).collect();
    if engine && models.is_empty() {
        errors.push(tree.error(name, "models", "no models", "at least one model of its kinds"));
    }
    for model in models.into_iter().filter(|model| !known.contains(model)) {
        let expected = "a model of the server's kinds";
        let error = tree.error(name, "models", format!("no model `{model}`"), expected);
        errors.push(SettingError { suggestion: suggest(model, known.iter().copied()), ..error });
    }
}

/// Checks that each model belongs to one kind, since a request is assigned to its kind by model.
fn models(tree: &Tree, errors: &mut Vec<SettingError>) {
    let mut owners: FastMap<&str, &SectionName> = FastMap::default();
    for name in tree.sections.keys().filter(|name| name.level() == Level::Kind) {
        for model in value::list(tree.get(name, "models").unwrap_or("")) {
            if let Some(owner) = owners.insert(model, name).filter(|owner| *owner != name) {
                let found = format!("model `{model}` of [{owner}]");
                errors.push(tree.error(name, "models", found, "each model in one kind only"));
            }
        }
    }
}

/// Checks that no two callers or operators share a key, since a key identifies one of them.
fn digests(tree: &Tree, errors: &mut Vec<SettingError>) {
    let mut owners: FastMap<&str, (&SectionName, &str)> = FastMap::default();
    for (name, section) in &tree.sections {
        for (key, entry) in &section.entries {
            let digest = match name.level() {
                Level::Workspace if key.starts_with(schema::CALLER_KEY) => {
                    value::caller_key(&entry.value).map(|(digest, _)| digest)
                }
                Level::Operator if key == "key" => Some(entry.value.as_str()),
                _ => None,
            };
            let Some(digest) = digest else {
                continue;
            };
            if let Some((owner, other)) = owners.insert(digest, (name, key)) {
                let found = format!("digest of [{owner}] {other}");
                errors.push(tree.error(
                    name,
                    key,
                    found,
                    "a key that no other caller or operator has",
                ));
            }
        }
    }
}

/// Checks the time limits: a request that may start must be able to finish before a planned stop
/// ends it.
fn limits(tree: &Tree, errors: &mut Vec<SettingError>) {
    let fleet = Chain::new(tree, vec![SectionName::Fleet]);
    let span = |key| -> Option<Millis> { fleet.lookup(key)?.0.parse().ok() };
    let Some(request) = span("request_limit") else {
        return;
    };
    if let Some(drain) = span("drain_limit").filter(|drain| *drain <= request) {
        let key = match tree.get(&SectionName::Fleet, "drain_limit") {
            Some(_) => "drain_limit",
            None => "request_limit",
        };
        let found = format!("drain_limit {drain}, request_limit {request}");
        let expected = "a drain_limit above the request_limit";
        errors.push(tree.error(&SectionName::Fleet, key, found, expected));
    }
    let default = span("deadline").is_some_and(|deadline| deadline > request)
        && tree.get(&SectionName::Fleet, "deadline").is_none();
    if default {
        let expected = "at least the default deadline, or an explicit deadline in [fleet]";
        let found = format!("found `{request}`");
        errors.push(tree.error(&SectionName::Fleet, "request_limit", found, expected));
    }
    for (name, section) in &tree.sections {
        let deadline = section.entries.get("deadline");
        let deadline = deadline.and_then(|entry| entry.value.parse::<Millis>().ok());
        if let Some(deadline) = deadline.filter(|deadline| *deadline > request) {
            let expected = format!("at most the request_limit, {request}");
            errors.push(tree.error(name, "deadline", format!("found `{deadline}`"), expected));
        }
    }
}

/// Checks that the floors of all ranks, which are shares of the same capacity, do not exceed it.
fn floors(tree: &Tree, errors: &mut Vec<SettingError>) {
    let floor = |rank| {
        let name = SectionName::Rank(rank);
        let text = tree.get(&name, "floor");
        text.unwrap_or(schema::rank_default(rank, "floor")).parse::<Share>().ok()
    };
    let sum: f64 = Rank::ALL.into_iter().filter_map(floor).map(Share::fraction).sum();
    // The tolerance of 0.0005 is half of the smallest step of a share, and absorbs rounding errors.
    let place = Rank::ALL.map(SectionName::Rank).into_iter().rev();
    let place = place.into_iter().find(|name| tree.get(name, "floor").is_some());
    if let Some(name) = place.filter(|_| sum > 1.0005) {
        let found = format!("floors add up to {:.1}%", sum * 100.0);
        errors.push(tree.error(&name, "floor", found, "at most 100% across the three ranks"));
    }
}
