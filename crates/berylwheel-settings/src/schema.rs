//! The table of all keys, with their levels, types and defaults.

use berylwheel_types::Rank as RankName;

use crate::Level;
use crate::ValueType;

use Level::Domain;
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
/// Levels of keys that each more specific level may override.
const INHERITED: &[Level] = &[Fleet, Kind, Workspace, WorkspaceKind];

const MAX_TOKENS: u64 = 1_000_000_000;
const HOUR_MS: u64 = 3_600_000;
const MB: u64 = 1 << 20;
const GB: u64 = 1 << 30;

const fn spec(
    key: &'static str,
    levels: &'static [Level],
    value: ValueType,
    required: Required,
) -> KeySpec {
    KeySpec { key, levels, value, required }
}

/// All keys. A key that differs by level has several entries.
pub const KEYS: &[KeySpec] = &[
    spec("name", ROUTER, ValueType::Name, Yes),
    spec("domain", ROUTER, ValueType::Name, Yes),
    spec("region", ROUTER, ValueType::Name, Default("main")),
    spec("listen", ROUTER, ValueType::Listen, Yes),
    spec("admin", ROUTER, ValueType::Listen, Yes),
    spec("peer", ROUTER, ValueType::Listen, Yes),
    spec("store", ROUTER, ValueType::Addresses, Yes),
    spec("peers", ROUTER, ValueType::Peers, Default("")),
    spec("vms", ROUTER, ValueType::Address, No),
    spec("metrics", ROUTER, ValueType::Address, No),
    spec("adapter", ROUTER, ValueType::Adapter, Default("none")),
    spec("ready", ROUTER, ValueType::Listen, No),
    spec("ca", ROUTER, ValueType::Path, No),
    spec("cert", ROUTER, ValueType::Path, No),
    spec("key", ROUTER, ValueType::Path, No),
    spec("threads", ROUTER, ValueType::Count(0, 64), Default("2")),
    spec("stop_limit", ROUTER, ValueType::Duration(100, 24 * HOUR_MS), No),
    spec("silence_limit", ROUTER, ValueType::Duration(0, 24 * HOUR_MS), No),
    spec("retry_share", ROUTER, ValueType::Decimal, No),
    spec("retry_extra", ROUTER, ValueType::Decimal, No),
    spec("exempt_parts", ROUTER, ValueType::Names, Default("")),
    spec("link", ROUTER, ValueType::Rate, No),
    spec("first_start", ROUTER, ValueType::YesNo, Default("no")),
    spec("holding_time", ROUTER, ValueType::Duration(100, 24 * HOUR_MS), No),
    spec("body_limit", FLEET, ValueType::Size(1_024, 64 * MB), Default("1MB")),
    spec("receive_time", FLEET, ValueType::Duration(100, 600_000), Default("10s")),
    spec("head_limit", FLEET, ValueType::Size(1_024, MB), Default("8KB")),
    spec("idle_time", FLEET, ValueType::Duration(100, HOUR_MS), Default("60s")),
    spec("request_limit", FLEET, ValueType::Duration(100, 24 * HOUR_MS), Default("300s")),
    spec("drain_limit", FLEET, ValueType::Duration(100, 24 * HOUR_MS), Default("600s")),
    spec("ledger_pages", FLEET, ValueType::Count(1, 65_536), Default("64")),
    spec("connections", FLEET, ValueType::Count(1, 100_000), Default("4096")),
    spec("floor", &[Rank], ValueType::Share, No),
    spec("target", &[Rank], ValueType::Duration(1, HOUR_MS), No),
    spec("service", KIND, ValueType::Service, Yes),
    spec("models", KIND, ValueType::Names, Default("")),
    spec("repeat", KIND, ValueType::Repeat, No),
    spec("lookup", KIND, ValueType::YesNo, Default("no")),
    spec("connections", KIND, ValueType::Count(1, 100_000), Default("256")),
    spec("host", KIND, ValueType::Host, No),
    spec("path", KIND, ValueType::UrlPath, No),
    spec("pools", KIND, ValueType::Weights, Default("")),
    spec("answer", KIND, ValueType::Answer, Default("whole")),
    spec("resume", KIND, ValueType::YesNo, Default("no")),
    spec("attempts", KIND, ValueType::Count(1, 16), Default("2")),
    spec("target", KIND, ValueType::Duration(1, HOUR_MS), Default("1s")),
    spec("gap", KIND, ValueType::Duration(1, HOUR_MS), Default("1s")),
    spec("open", KIND, ValueType::YesNo, Default("no")),
    spec("connections", &[Pool], ValueType::Count(1, 100_000), Default("256")),
    spec("event_tokens", &[Pool], ValueType::Count(1, 1_000_000), Default("1")),
    spec("model_memory", &[Pool], ValueType::Tokens(0, 1_000_000_000_000), Default("0")),
    spec("cold_rate", &[Pool], ValueType::Decimal, Default("0")),
    spec("cold_time", &[Pool], ValueType::Duration(0, 600_000), Default("0s")),
    spec("evacuated", &[Domain], ValueType::YesNo, Default("no")),
    spec("price", &[Kind, WorkspaceKind], ValueType::Tokens(0, MAX_TOKENS), Default("0")),
    spec("rank", INHERITED, ValueType::Rank, Default("normal")),
    spec("deadline", INHERITED, ValueType::Duration(1, 24 * HOUR_MS), Default("60s")),
    spec("queue", SHARED, ValueType::Count(0, 1_000_000), Default("256")),
    spec("queue_bytes", SHARED, ValueType::Size(0, 4 * GB), Default("16MB")),
    spec("concurrency", SHARED, ValueType::Count(1, 100_000), Default("256")),
    spec("max_tokens", INHERITED, ValueType::Tokens(1, MAX_TOKENS), Default("4096")),
    spec("closed", WORKSPACE, ValueType::YesNo, Default("no")),
    spec("in_flight", WORKSPACE, ValueType::Count(1, 1_000_000), Default("1024")),
    spec("tokens", WORKSPACE, ValueType::Tokens(0, 1_000_000_000_000_000), No),
    spec("budget", WORKSPACE, ValueType::Budget, Default("main")),
    spec("budgets", WORKSPACE, ValueType::Budgets, Default("")),
    spec("key.NAME", WORKSPACE, ValueType::CallerKey, No),
    spec("address", SERVER, ValueType::Address, Yes),
    spec("kinds", SERVER, ValueType::Names, Yes),
    spec("models", SERVER, ValueType::Names, Default("")),
    spec("concurrency", SERVER, ValueType::Count(1, 100_000), Default("32")),
    spec("domain", SERVER, ValueType::Name, Yes),
    spec("fencing", SERVER, ValueType::Fencing, Default("ignored")),
    spec("key", &[Operator], ValueType::Digest, Yes),
];

/// The prefix of settings that hold caller keys.
pub(crate) const CALLER_KEY_PREFIX: &str = "key.";

/// Returns the specification of `key` at `level`.
pub(crate) fn find(level: Level, key: &str) -> Option<&'static KeySpec> {
    let key =
        if level == Workspace && key.starts_with(CALLER_KEY_PREFIX) { "key.NAME" } else { key };
    keys_at(level).find(|spec| spec.key == key)
}

/// Returns the specifications of all keys of `level`.
pub(crate) fn keys_at(level: Level) -> impl Iterator<Item = &'static KeySpec> {
    KEYS.iter().filter(move |spec| spec.levels.contains(&level))
}

/// Returns the levels at which `key` is valid.
pub(crate) fn levels_of(key: &str) -> Vec<Level> {
    Level::ALL.into_iter().filter(|level| find(*level, key).is_some()).collect()
}

/// Returns whether `key` is valid at `level` and does not override a key of a kind.
pub(crate) fn is_not_override(level: Level, key: &str) -> bool {
    find(level, key).is_some_and(|spec| !spec.levels.contains(&Kind))
}

/// The default of `repeat` for an engine. A plain service must set the key, since repeating a call
/// that is not idempotent would run it twice.
pub(crate) const DEFAULT_ENGINE_REPEAT: &str = "idempotent";

/// Returns the default of `key` for a rank. The floors leave a tenth of the capacity, which is
/// scheduled in strict order of rank.
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
