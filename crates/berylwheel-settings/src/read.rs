//! Conversion of checked sections into typed settings.

use std::fmt::Display;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;

use berylwheel_types::BackendId;
use berylwheel_types::BudgetId;
use berylwheel_types::FailureDomain;
use berylwheel_types::KindId;
use berylwheel_types::Rank;
use berylwheel_types::RouterId;
use berylwheel_types::WorkspaceId;

use crate::Adapter;
use crate::FleetSettings;
use crate::KeySettings;
use crate::KindSettings;
use crate::OperatorSettings;
use crate::Origin;
use crate::PoolSettings;
use crate::RankSettings;
use crate::Required;
use crate::RouterSettings;
use crate::SectionName;
use crate::ServerSettings;
use crate::SettingError;
use crate::WorkspaceSettings;
use crate::raw::Document;
use crate::raw::Section;
use crate::schema;
use crate::value;

pub(crate) type ReadResult<T> = Result<T, Box<SettingError>>;

/// The sections that a value is looked up in, the most specific first; `None` if a section is not
/// in the file.
pub(crate) struct SectionChain<'a>(Vec<(SectionName, Option<&'a Section>)>);

impl<'a> SectionChain<'a> {
    pub fn new(document: &'a Document, names: Vec<SectionName>) -> Self {
        Self(names.into_iter().map(|name| (name.clone(), document.sections.get(&name))).collect())
    }

    /// Returns the sections that apply to `kind`, and to `workspace` if one is given.
    pub fn of_kind(document: &'a Document, workspace: Option<&WorkspaceId>, kind: &KindId) -> Self {
        let overrides = workspace.map(|id| {
            [
                SectionName::WorkspaceKind(id.clone(), kind.clone()),
                SectionName::Workspace(id.clone()),
            ]
        });
        let shared = [SectionName::Kind(kind.clone()), SectionName::Fleet];
        Self::new(document, overrides.into_iter().flatten().chain(shared).collect())
    }

    /// Returns the value of `key` and its origin; `None` if it has no value.
    pub fn lookup(&self, key: &str) -> Option<(&'a str, Origin)> {
        let specs = self
            .0
            .iter()
            .filter_map(|(name, section)| Some((name, *section, schema::find(name.level(), key)?)));
        let mut first_spec = None;
        for (name, section, spec) in specs {
            // A less specific section may have an unrelated key of the same name, such as
            // `connections` of `[fleet]`.
            if !std::ptr::eq(*first_spec.get_or_insert(spec), spec) {
                continue;
            }
            if let Some(entry) = section.and_then(|section| section.entries.get(key)) {
                return Some((&entry.value, Origin::Section(name.clone())));
            }
        }
        let first_spec = first_spec?;
        if first_spec.key == "repeat" && self.is_engine() {
            return Some((schema::DEFAULT_ENGINE_REPEAT, Origin::Default));
        }
        match first_spec.required {
            Required::Default(text) => Some((text, Origin::Default)),
            Required::Yes | Required::No => None,
        }
    }

    fn is_engine(&self) -> bool {
        let service = |s: &Section| s.entries.get("service").is_some_and(|e| e.value == "engine");
        self.0.iter().any(|(_, section)| section.is_some_and(service))
    }
}

struct Reader<'a> {
    document: &'a Document,
    chain: SectionChain<'a>,
}

impl<'a> Reader<'a> {
    fn new(document: &'a Document, name: &SectionName) -> Self {
        Self { document, chain: SectionChain::new(document, vec![name.clone()]) }
    }

    fn error(&self, key: &str, found: &str, expected: &dyn Display) -> Box<SettingError> {
        Box::new(self.document.error(&self.chain.0[0].0, key, found, expected.to_string()))
    }

    fn text(&self, key: &str) -> ReadResult<&'a str> {
        let found = self.chain.lookup(key).map(|(text, _)| text);
        found.ok_or_else(|| self.error(key, "missing", &"a value"))
    }

    fn get<T: FromStr<Err: Display>>(&self, key: &str) -> ReadResult<T> {
        let text = self.text(key)?;
        text.parse().map_err(|e: T::Err| self.error(key, text, &e))
    }

    fn optional<T: FromStr<Err: Display>>(&self, key: &str) -> ReadResult<Option<T>> {
        match self.chain.lookup(key) {
            Some(_) => self.get(key).map(Some),
            None => Ok(None),
        }
    }

    fn list<T: FromStr<Err: Display>>(&self, key: &str) -> ReadResult<Vec<T>> {
        let item = |text: &str| text.parse().map_err(|e: T::Err| self.error(key, text, &e));
        value::list_items(self.text(key)?).map(item).collect()
    }

    fn yes_no(&self, key: &str) -> ReadResult<bool> {
        let text = self.text(key)?;
        value::parse_yes_no(text).ok_or_else(|| self.error(key, text, &"yes or no"))
    }
}

/// Reads `[router]`; returns placeholder settings if there is no such section.
pub(crate) fn router(document: &Document) -> ReadResult<RouterSettings> {
    if !document.sections.contains_key(&SectionName::Router) {
        return placeholder_router(document);
    }
    let reader = Reader::new(document, &SectionName::Router);
    let peer =
        |text| value::parse_peer(text).ok_or_else(|| reader.error("peers", text, &"NAME=IP:port"));
    Ok(RouterSettings {
        name: reader.get("name")?,
        domain: reader.get("domain")?,
        region: reader.get("region")?,
        listen: reader.get("listen")?,
        admin: reader.get("admin")?,
        peer: reader.get("peer")?,
        store: reader.list("store")?,
        peers: value::list_items(reader.text("peers")?).map(peer).collect::<ReadResult<_>>()?,
        vms: reader.optional("vms")?,
        metrics: reader.optional("metrics")?,
        adapter: reader.get("adapter")?,
        ready: reader.optional("ready")?,
        ca: reader.optional("ca")?,
        cert: reader.optional("cert")?,
        key: reader.optional("key")?,
        threads: reader.get("threads")?,
        stop_limit: reader.optional("stop_limit")?,
        silence_limit: reader.optional("silence_limit")?,
        retry_share: reader.optional("retry_share")?,
        retry_extra: reader.optional("retry_extra")?,
        exempt_parts: reader.list("exempt_parts")?,
        link: reader.optional("link")?,
        first_start: reader.yes_no("first_start")?,
        holding_time: reader.optional("holding_time")?,
    })
}

fn placeholder_router(document: &Document) -> ReadResult<RouterSettings> {
    let name_error = |e: &dyn Display| {
        Box::new(document.error(&SectionName::Router, "name", "none", e.to_string()))
    };
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    Ok(RouterSettings {
        name: "none".parse::<RouterId>().map_err(|e| name_error(&e))?,
        domain: "none".parse::<FailureDomain>().map_err(|e| name_error(&e))?,
        region: "main".to_owned(),
        listen: address,
        admin: address,
        peer: address,
        store: Vec::new(),
        peers: Vec::new(),
        vms: None,
        metrics: None,
        adapter: Adapter::None,
        ready: None,
        ca: None,
        cert: None,
        key: None,
        threads: 2,
        stop_limit: None,
        silence_limit: None,
        retry_share: None,
        retry_extra: None,
        exempt_parts: Vec::new(),
        link: None,
        first_start: false,
        holding_time: None,
    })
}

/// Reads `[fleet]`.
pub(crate) fn fleet(document: &Document) -> ReadResult<FleetSettings> {
    let reader = Reader::new(document, &SectionName::Fleet);
    Ok(FleetSettings {
        body_limit: reader.get("body_limit")?,
        receive_time: reader.get("receive_time")?,
        head_limit: reader.get("head_limit")?,
        idle_time: reader.get("idle_time")?,
        request_limit: reader.get("request_limit")?,
        drain_limit: reader.get("drain_limit")?,
        ledger_pages: reader.get("ledger_pages")?,
        connections: reader.get("connections")?,
    })
}

/// Reads `[rank NAME]`. Its defaults differ by rank.
pub(crate) fn rank(document: &Document, rank: Rank) -> ReadResult<RankSettings> {
    let name = SectionName::Rank(rank);
    let value = |key| document.get(&name, key).unwrap_or_else(|| schema::rank_default(rank, key));
    let error =
        |key, e: &dyn Display| Box::new(document.error(&name, key, value(key), e.to_string()));
    Ok(RankSettings {
        floor: value("floor").parse().map_err(|e| error("floor", &e))?,
        target: value("target").parse().map_err(|e| error("target", &e))?,
    })
}

/// Reads `kind`, with the overrides of `workspace` if one is given.
pub(crate) fn kind(
    document: &Document,
    workspace: Option<&WorkspaceId>,
    kind: &KindId,
) -> ReadResult<KindSettings> {
    let reader = Reader { document, chain: SectionChain::of_kind(document, workspace, kind) };
    let pool = |text| {
        value::parse_weighted_name(text).ok_or_else(|| reader.error("pools", text, &"NAME:WEIGHT"))
    };
    Ok(KindSettings {
        id: kind.clone(),
        service: reader.get("service")?,
        models: reader.list("models")?,
        rank: reader.get("rank")?,
        repeat: reader.get("repeat")?,
        lookup: reader.yes_no("lookup")?,
        price: reader.get("price")?,
        deadline: reader.get("deadline")?,
        queue: reader.get("queue")?,
        queue_bytes: reader.get("queue_bytes")?,
        concurrency: reader.get("concurrency")?,
        connections: reader.get("connections")?,
        max_tokens: reader.get("max_tokens")?,
        host: reader.optional("host")?,
        path: reader.optional("path")?,
        pools: value::list_items(reader.text("pools")?).map(pool).collect::<ReadResult<_>>()?,
        answer: reader.get("answer")?,
        resume: reader.yes_no("resume")?,
        attempts: reader.get("attempts")?,
        target: reader.get("target")?,
        gap: reader.get("gap")?,
        open: reader.yes_no("open")?,
    })
}

/// Reads `[pool NAME]`.
pub(crate) fn pool(document: &Document, id: &KindId) -> ReadResult<PoolSettings> {
    let reader = Reader::new(document, &SectionName::Pool(id.clone()));
    Ok(PoolSettings {
        id: id.clone(),
        connections: reader.get("connections")?,
        event_tokens: reader.get("event_tokens")?,
        model_memory: reader.get("model_memory")?,
        cold_rate: reader.get("cold_rate")?,
        cold_time: reader.get("cold_time")?,
    })
}

/// Returns whether `[domain NAME]` evacuates the failure domain.
pub(crate) fn is_evacuated(document: &Document, id: &FailureDomain) -> ReadResult<bool> {
    Reader::new(document, &SectionName::Domain(id.clone())).yes_no("evacuated")
}

/// Returns the id of a workspace's budget.
fn budget_id(
    document: &Document,
    workspace: &WorkspaceId,
    key: &str,
    budget: &str,
) -> ReadResult<BudgetId> {
    let id = format!("{workspace}/{budget}");
    let name = SectionName::Workspace(workspace.clone());
    id.parse().map_err(|_| {
        let expected = "at most 128 letters, digits or - _ . :";
        Box::new(document.error(&name, key, format!("budget id `{id}`"), expected))
    })
}

/// Reads `[workspace NAME]`.
pub(crate) fn workspace(document: &Document, id: &WorkspaceId) -> ReadResult<WorkspaceSettings> {
    let name = SectionName::Workspace(id.clone());
    let reader = Reader::new(document, &name);
    let budget = reader.text("budget")?;
    let mut keys = Vec::new();
    for (key, entry) in reader.chain.0[0].1.into_iter().flat_map(|s| &s.entries) {
        let Some(caller) = key.strip_prefix(schema::CALLER_KEY_PREFIX) else {
            continue;
        };
        let (sha256, key_budget) = value::parse_caller_key(&entry.value)
            .ok_or_else(|| reader.error(key, &entry.value, &"SHA256HEX [BUDGET]"))?;
        keys.push(KeySettings {
            name: caller.to_owned(),
            sha256: sha256.to_owned(),
            budget: budget_id(document, id, key, key_budget.unwrap_or(budget))?,
        });
    }
    Ok(WorkspaceSettings {
        id: id.clone(),
        keys,
        closed: reader.yes_no("closed")?,
        rank: document.get(&name, "rank").and_then(|rank| rank.parse().ok()),
        in_flight: reader.get("in_flight")?,
        budget: budget_id(document, id, "budget", budget)?,
        tokens: reader.optional("tokens")?,
    })
}

/// Reads `[server NAME]`.
pub(crate) fn server(document: &Document, id: &BackendId) -> ReadResult<ServerSettings> {
    let reader = Reader::new(document, &SectionName::Server(id.clone()));
    Ok(ServerSettings {
        id: id.clone(),
        address: reader.get("address")?,
        kinds: reader.list("kinds")?,
        models: reader.list("models")?,
        concurrency: reader.get("concurrency")?,
        domain: reader.get("domain")?,
        fencing: reader.get("fencing")?,
    })
}

/// Reads `[operator NAME]`.
pub(crate) fn operator(document: &Document, name: &str) -> ReadResult<OperatorSettings> {
    let reader = Reader::new(document, &SectionName::Operator(name.to_owned()));
    Ok(OperatorSettings { name: name.to_owned(), sha256: reader.get("key")? })
}
