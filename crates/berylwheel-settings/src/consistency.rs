//! Checks of the consistency between several values.

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Share;

use crate::Level;
use crate::SectionName;
use crate::SettingError;
use crate::check::suggest;
use crate::raw::Document;
use crate::read::SectionChain;
use crate::schema;
use crate::value;

/// Returns all inconsistencies between the values of `document`.
///
/// Values that are invalid by themselves are skipped, since the schema check reports them.
pub(crate) fn check(document: &Document) -> Vec<SettingError> {
    let mut errors = Vec::new();
    for name in document.sections.keys() {
        match name {
            SectionName::Router => check_router(document, &mut errors),
            SectionName::Kind(_) => check_kind(document, name, &mut errors),
            SectionName::Workspace(_) => check_workspace(document, name, &mut errors),
            SectionName::WorkspaceKind(workspace, kind) => {
                let parents =
                    [SectionName::Workspace(workspace.clone()), SectionName::Kind(kind.clone())];
                for parent in parents {
                    errors.extend(missing_section(document, name, "", &parent));
                }
            }
            SectionName::Server(_) => check_server(document, name, &mut errors),
            SectionName::Fleet
            | SectionName::Rank(_)
            | SectionName::Pool(_)
            | SectionName::Domain(_)
            | SectionName::Operator(_) => {}
        }
    }
    check_models(document, &mut errors);
    check_digests(document, &mut errors);
    check_time_limits(document, &mut errors);
    check_floors(document, &mut errors);
    errors
}

/// Returns an error if `document` has no section `wanted`, which `key` of `name` refers to.
fn missing_section(
    document: &Document,
    name: &SectionName,
    key: &str,
    wanted: &SectionName,
) -> Option<SettingError> {
    if document.sections.contains_key(wanted) {
        return None;
    }
    let known: Vec<String> = document.sections.keys().map(SectionName::to_string).collect();
    let error = document.error(
        name,
        key,
        format!("no section [{wanted}]"),
        format!(
            "an existing {}",
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

fn check_router(document: &Document, errors: &mut Vec<SettingError>) {
    let name = &SectionName::Router;
    let own_name = document.get(name, "name");
    let mut seen = Vec::new();
    for item in value::list_items(document.get(name, "peers").unwrap_or("")) {
        let Some((peer, _)) = value::parse_peer(item) else {
            continue;
        };
        if own_name == Some(peer.as_str()) || seen.contains(&peer) {
            errors.push(document.error(
                name,
                "peers",
                format!("found `{peer}`"),
                "each of the other routers once, and not this router",
            ));
        }
        seen.push(peer);
    }
    check_certificates(document, errors);
}

/// Checks that a router has all three certificate files. With the platform adapter it may have
/// none, and then uses the certificate authority in the store.
fn check_certificates(document: &Document, errors: &mut Vec<SettingError>) {
    let name = &SectionName::Router;
    let paths = ["ca", "cert", "key"];
    let given = |key: &&str| document.get(name, key).is_some();
    if document.get(name, "adapter") == Some("platform") && !paths.iter().any(given) {
        return;
    }
    for key in paths.iter().filter(|key| !given(key)) {
        errors.push(document.error(name, key, "missing", "the path of a file"));
    }
}

fn check_kind(document: &Document, name: &SectionName, errors: &mut Vec<SettingError>) {
    check_forwarding(document, name, errors);
    let models = document.get(name, "models").unwrap_or("");
    match document.get(name, "service") {
        Some("engine") if models.is_empty() => {
            errors.push(document.error(
                name,
                "models",
                "no models",
                "at least one model of the engine",
            ));
        }
        Some("plain") => {
            if !models.is_empty() {
                let expected = "no models, since the service is plain";
                errors.push(document.error(name, "models", format!("found `{models}`"), expected));
            }
            if document.get(name, "repeat").is_none() {
                let expected = "idempotent, never, by-key or once, since the service is plain";
                errors.push(document.error(name, "repeat", "missing", expected));
            }
        }
        _ => {}
    }
}

/// Checks that a kind that is matched by host and path sets all of `host`, `path` and `pools`, and
/// that its pools exist.
fn check_forwarding(document: &Document, name: &SectionName, errors: &mut Vec<SettingError>) {
    let given = |key| document.get(name, key).is_some_and(|value| !value.is_empty());
    if !["host", "path", "pools"].into_iter().any(given) {
        return;
    }
    for key in ["host", "path", "pools"].into_iter().filter(|key| !given(key)) {
        let expected = "host, path and pools, since requests are forwarded by host and path";
        errors.push(document.error(name, key, "missing", expected));
    }
    for (pool, _) in value::list_items(document.get(name, "pools").unwrap_or(""))
        .filter_map(value::parse_weighted_name)
    {
        errors.extend(missing_section(document, name, "pools", &SectionName::Pool(pool)));
    }
}

fn check_workspace(document: &Document, name: &SectionName, errors: &mut Vec<SettingError>) {
    let default_budget = document.get(name, "budget").unwrap_or("main");
    let mut budgets: Vec<&str> =
        value::list_items(document.get(name, "budgets").unwrap_or("")).collect();
    budgets.push(default_budget);
    let entries = document.sections.get(name).into_iter().flat_map(|section| &section.entries);
    for (key, entry) in entries.filter(|(key, _)| key.starts_with(schema::CALLER_KEY_PREFIX)) {
        let Some((_, Some(budget))) = value::parse_caller_key(&entry.value) else {
            continue;
        };
        if !budgets.contains(&budget) {
            let expected = "a budget listed in `budget` or `budgets`";
            let error = document.error(name, key, format!("no budget `{budget}`"), expected);
            let suggestion = suggest(budget, budgets.iter().copied());
            errors.push(SettingError { suggestion, ..error });
        }
    }
}

fn check_server(document: &Document, name: &SectionName, errors: &mut Vec<SettingError>) {
    let mut known_models = Vec::new();
    let mut has_engine = false;
    for item in value::list_items(document.get(name, "kinds").unwrap_or("")) {
        let Ok(id) = item.parse() else {
            continue;
        };
        let kind = SectionName::Kind(id);
        errors.extend(missing_section(document, name, "kinds", &kind));
        known_models.extend(value::list_items(document.get(&kind, "models").unwrap_or("")));
        has_engine |= document.get(&kind, "service") == Some("engine");
    }
    let models: Vec<&str> = value::list_items(document.get(name, "models").unwrap_or("")).collect();
    if has_engine && models.is_empty() {
        errors.push(document.error(name, "models", "no models", "at least one model of its kinds"));
    }
    for model in models.into_iter().filter(|model| !known_models.contains(model)) {
        let expected = "a model of the server's kinds";
        let error = document.error(name, "models", format!("no model `{model}`"), expected);
        errors.push(SettingError {
            suggestion: suggest(model, known_models.iter().copied()),
            ..error
        });
    }
}

/// Checks that each model belongs to one kind, since a request is assigned to its kind by model.
fn check_models(document: &Document, errors: &mut Vec<SettingError>) {
    let mut owners: FastMap<&str, &SectionName> = FastMap::default();
    for name in document.sections.keys().filter(|name| name.level() == Level::Kind) {
        for model in value::list_items(document.get(name, "models").unwrap_or("")) {
            if let Some(owner) = owners.insert(model, name).filter(|owner| *owner != name) {
                let found = format!("model `{model}` is also in [{owner}]");
                errors.push(document.error(name, "models", found, "each model in one kind only"));
            }
        }
    }
}

/// Checks that no two callers or operators share a key, since a key identifies one of them.
fn check_digests(document: &Document, errors: &mut Vec<SettingError>) {
    let mut owners: FastMap<&str, (&SectionName, &str)> = FastMap::default();
    for (name, section) in &document.sections {
        for (key, entry) in &section.entries {
            let digest = match name.level() {
                Level::Workspace if key.starts_with(schema::CALLER_KEY_PREFIX) => {
                    value::parse_caller_key(&entry.value).map(|(digest, _)| digest)
                }
                Level::Operator if key == "key" => Some(entry.value.as_str()),
                _ => None,
            };
            let Some(digest) = digest else {
                continue;
            };
            if let Some((owner, other)) = owners.insert(digest, (name, key)) {
                let found = format!("same digest as [{owner}] {other}");
                errors.push(document.error(
                    name,
                    key,
                    found,
                    "a key that no other caller or operator has",
                ));
            }
        }
    }
}

/// Checks the time limits of the router's own interface: a request that may start must be able to
/// finish before a planned stop ends it.
fn check_time_limits(document: &Document, errors: &mut Vec<SettingError>) {
    let fleet = SectionChain::new(document, vec![SectionName::Fleet]);
    let limit = |key| -> Option<Millis> { fleet.lookup(key)?.0.parse().ok() };
    let Some(request) = limit("request_limit") else {
        return;
    };
    if let Some(drain) = limit("drain_limit").filter(|drain| *drain <= request) {
        let key = match document.get(&SectionName::Fleet, "drain_limit") {
            Some(_) => "drain_limit",
            None => "request_limit",
        };
        let found = format!("drain_limit {drain}, request_limit {request}");
        let expected = "a drain_limit above the request_limit";
        errors.push(document.error(&SectionName::Fleet, key, found, expected));
    }
    let default_exceeds = limit("deadline").is_some_and(|deadline| deadline > request)
        && document.get(&SectionName::Fleet, "deadline").is_none();
    if default_exceeds {
        let expected = "at least the default deadline, or an explicit deadline in [fleet]";
        let found = format!("found `{request}`");
        errors.push(document.error(&SectionName::Fleet, "request_limit", found, expected));
    }
    for (name, section) in &document.sections {
        // The deadline of a kind that is forwarded by host and path is its only limit.
        if document.get(name, "host").is_some() {
            continue;
        }
        let deadline = section.entries.get("deadline");
        let deadline = deadline.and_then(|entry| entry.value.parse::<Millis>().ok());
        if let Some(deadline) = deadline.filter(|deadline| *deadline > request) {
            let expected = format!("at most the request_limit, {request}");
            errors.push(document.error(name, "deadline", format!("found `{deadline}`"), expected));
        }
    }
}

/// Checks that the floors of all ranks, which are shares of the same capacity, do not exceed it.
fn check_floors(document: &Document, errors: &mut Vec<SettingError>) {
    let floor = |rank| {
        let name = SectionName::Rank(rank);
        let text = document.get(&name, "floor");
        text.unwrap_or(schema::rank_default(rank, "floor")).parse::<Share>().ok()
    };
    let sum: f64 = Rank::ALL.into_iter().filter_map(floor).map(Share::fraction).sum();
    // The tolerance of 0.0005 is half of the smallest step of a share, and absorbs rounding errors.
    let rank_section = Rank::ALL.map(SectionName::Rank).into_iter().rev();
    let rank_section = rank_section.into_iter().find(|name| document.get(name, "floor").is_some());
    if let Some(name) = rank_section.filter(|_| sum > 1.0005) {
        let found = format!("floors add up to {:.1}%", sum * 100.0);
        errors.push(document.error(&name, "floor", found, "at most 100% across the three ranks"));
    }
}
