//! The table of all keys, with their levels, types and defaults.

use berylwheel_types::Rank as RankName;

use crate::Level;
use crate::ValueType;

use Level::Fleet;
use Level::Kind;
use Level::Operator;
use Level::Pool;
use Level::Rank;
use Level::Router;
use Level::Server;
use Level::Workspace;
use Level::WorkspaceKind;
use Required::Default;
use Required::No;
use Required::Yes;

/// Whether a key must be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Required {
    /// Every section of the level must set it.
    Yes,
    /// Optional, without a default.
    No,
    /// Optional, with this default.
    Default(&'static str),
}

/// The specification of one key.
#[derive(Debug, Clone, Copy)]
pub struct KeySpec {
    /// The key; `key.NAME` stands for all keys with that prefix.
    pub key: &'static str,
    /// The levels at which it may be given.
    pub levels: &'static [Level],
    /// The type of its value.
    pub value: ValueType,
    /// Whether it must be given.
    pub required: Required,
}

const ROUTER: &[Level] = &[Router];
const FLEET: &[Level] = &[Fleet];
const KIND: &[Level] = &[Kind];
const WORKSPACE: &[Level] = &[Workspace];
const SERVER: &[Level] = &[Server];
/// Levels of limits that all workspaces share, so that a workspace cannot override them.
const SHARED: &[Level] = &[Fleet, Kind];
const EVERY: &[Level] = &[Fleet, Kind, Workspace, WorkspaceKind];

const MAX_TOKENS: u64 = 1_000_000_000;
const HOUR: u64 = 3_600_000;
const MB: u64 = 1 << 20;
const GB: u64 = 1 << 30;

const fn row(
    key: &'static str,
    levels: &'static [Level],
    value: ValueType,
    required: Required,
) -> KeySpec {
    KeySpec { key, levels, value, required }
}

/// All keys. A key that differs by level has several entries.
pub const KEYS: &[KeySpec] = &[
    row("name", ROUTER, ValueType::Name, Yes),
    row("domain", ROUTER, ValueType::Name, Yes),
    row("region", ROUTER, ValueType::Name, Default("main")),
    row("listen", ROUTER, ValueType::Listen, Yes),
    row("admin", ROUTER, ValueType::Listen, Yes),
    row("peer", ROUTER, ValueType::Listen, Yes),
    row("store", ROUTER, ValueType::Addresses, Yes),
    row("peers", ROUTER, ValueType::Peers, Default("")),
    row("vms", ROUTER, ValueType::Address, No),
    row("metrics", ROUTER, ValueType::Address, No),
    row("adapter", ROUTER, ValueType::Adapter, Default("none")),
    row("ready", ROUTER, ValueType::Listen, No),
    row("ca", ROUTER, ValueType::Path, No),
    row("cert", ROUTER, ValueType::Path, No),
    row("key", ROUTER, ValueType::Path, No),
    row("threads", ROUTER, ValueType::Count(0, 64), Default("2")),
    row("stop_limit", ROUTER, ValueType::Span(100, 24 * HOUR), No),
    row("retry_share", ROUTER, ValueType::Share, No),
    row("retry_extra", ROUTER, ValueType::Count(0, 1_000_000), No),
    row("link", ROUTER, ValueType::Rate, No),
    row("first_start", ROUTER, ValueType::YesNo, Default("no")),
    row("holding_time", ROUTER, ValueType::Span(100, 24 * HOUR), No),
    row("body_limit", FLEET, ValueType::Size(1_024, 64 * MB), Default("1MB")),
    row("receive_time", FLEET, ValueType::Span(100, 600_000), Default("10s")),
    row("head_limit", FLEET, ValueType::Size(1_024, MB), Default("8KB")),
    row("idle_time", FLEET, ValueType::Span(100, HOUR), Default("60s")),
    row("request_limit", FLEET, ValueType::Span(100, 24 * HOUR), Default("300s")),
    row("drain_limit", FLEET, ValueType::Span(100, 24 * HOUR), Default("600s")),
    row("ledger_pages", FLEET, ValueType::Count(1, 65_536), Default("64")),
    row("connections", FLEET, ValueType::Count(1, 100_000), Default("4096")),
    row("floor", &[Rank], ValueType::Share, No),
    row("target", &[Rank], ValueType::Span(1, HOUR), No),
    row("service", KIND, ValueType::Service, Yes),
    row("models", KIND, ValueType::Names, Default("")),
    row("repeat", KIND, ValueType::Repeat, No),
    row("lookup", KIND, ValueType::YesNo, Default("no")),
    row("connections", KIND, ValueType::Count(1, 100_000), Default("256")),
    row("host", KIND, ValueType::Host, No),
    row("path", KIND, ValueType::UrlPath, No),
    row("pools", KIND, ValueType::Weights, Default("")),
    row("answer", KIND, ValueType::Answer, Default("whole")),
    row("resume", KIND, ValueType::YesNo, Default("no")),
    row("attempts", KIND, ValueType::Count(1, 16), Default("2")),
    row("target", KIND, ValueType::Span(1, HOUR), Default("1s")),
    row("gap", KIND, ValueType::Span(1, HOUR), Default("1s")),
    row("open", KIND, ValueType::YesNo, Default("no")),
    row("connections", &[Pool], ValueType::Count(1, 100_000), Default("256")),
    row("event_tokens", &[Pool], ValueType::Count(1, 1_000_000), Default("1")),
    row("model_memory", &[Pool], ValueType::Tokens(0, 1_000_000_000_000), Default("0")),
    row("price", &[Kind, WorkspaceKind], ValueType::Tokens(0, MAX_TOKENS), Default("0")),
    row("rank", EVERY, ValueType::Rank, Default("normal")),
    row("deadline", EVERY, ValueType::Span(1, 24 * HOUR), Default("60s")),
    row("queue", SHARED, ValueType::Count(0, 1_000_000), Default("256")),
    row("queue_bytes", SHARED, ValueType::Size(0, 4 * GB), Default("16MB")),
    row("concurrency", SHARED, ValueType::Count(1, 100_000), Default("256")),
    row("max_tokens", EVERY, ValueType::Tokens(1, MAX_TOKENS), Default("4096")),
    row("closed", WORKSPACE, ValueType::YesNo, Default("no")),
    row("in_flight", WORKSPACE, ValueType::Count(1, 1_000_000), Default("1024")),
    row("tokens", WORKSPACE, ValueType::Tokens(0, 1_000_000_000_000_000), No),
    row("budget", WORKSPACE, ValueType::Budget, Default("main")),
    row("budgets", WORKSPACE, ValueType::Budgets, Default("")),
    row("key.NAME", WORKSPACE, ValueType::CallerKey, No),
    row("address", SERVER, ValueType::Address, Yes),
    row("kinds", SERVER, ValueType::Names, Yes),
    row("models", SERVER, ValueType::Names, Default("")),
    row("concurrency", SERVER, ValueType::Count(1, 100_000), Default("32")),
    row("domain", SERVER, ValueType::Name, Yes),
    row("fencing", SERVER, ValueType::Fencing, Default("ignored")),
    row("key", &[Operator], ValueType::Digest, Yes),
];

/// The prefix of settings that hold caller keys.
pub(crate) const CALLER_KEY: &str = "key.";

/// Returns the specification of `key` at `level`.
pub(crate) fn find(level: Level, key: &str) -> Option<&'static KeySpec> {
    let key = if level == Workspace && key.starts_with(CALLER_KEY) { "key.NAME" } else { key };
    at(level).find(|spec| spec.key == key)
}

/// Returns the specifications of all keys of `level`.
pub(crate) fn at(level: Level) -> impl Iterator<Item = &'static KeySpec> {
    KEYS.iter().filter(move |spec| spec.levels.contains(&level))
}

/// Returns the levels at which `key` is valid.
pub(crate) fn levels(key: &str) -> Vec<Level> {
    Level::ALL.into_iter().filter(|level| find(*level, key).is_some()).collect()
}

/// Returns whether `key` is valid at `level` and does not override a key of a kind.
pub(crate) fn is_own(level: Level, key: &str) -> bool {
    find(level, key).is_some_and(|spec| !spec.levels.contains(&Kind))
}

/// The default of `repeat` for an engine. A plain service must set the key, since repeating a call
/// that is not idempotent would run it twice.
pub(crate) const ENGINE_REPEAT: &str = "idempotent";

/// Returns the default of `key` for a rank. The floors leave a tenth of the capacity to be scheduled
/// in strict order of rank.
pub(crate) const fn rank_default(rank: RankName, key: &str) -> &'static str {
    match (rank, key.as_bytes()) {
        (RankName::Urgent, b"floor") => "50%",
        (RankName::Normal, b"floor") => "30%",
        (RankName::Batch, b"floor") => "10%",
        (RankName::Urgent, _) => "500ms",
        (RankName::Normal, _) => "2s",
        (RankName::Batch, _) => "60s",
    }
}
