//! Section names and the levels of settings.

use std::fmt;
use std::str::FromStr;

use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::KindId;
use berylwheel_types::ParseIdError;
use berylwheel_types::Rank;
use berylwheel_types::WorkspaceId;

/// A kind of section, at which a key may be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// `[router]`.
    Router,
    /// `[fleet]`.
    Fleet,
    /// `[rank NAME]`.
    Rank,
    /// `[kind NAME]`.
    Kind,
    /// `[workspace NAME]`.
    Workspace,
    /// `[workspace NAME kind KIND]`.
    WorkspaceKind,
    /// `[pool NAME]`.
    Pool,
    /// `[domain NAME]`.
    Domain,
    /// `[server NAME]`.
    Server,
    /// `[operator NAME]`.
    Operator,
}

impl Level {
    /// All levels, in the order in which sections are printed.
    pub const ALL: [Self; 10] = [
        Self::Router,
        Self::Fleet,
        Self::Rank,
        Self::Kind,
        Self::Workspace,
        Self::WorkspaceKind,
        Self::Pool,
        Self::Domain,
        Self::Server,
        Self::Operator,
    ];
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Router => "[router]",
            Self::Fleet => "[fleet]",
            Self::Rank => "[rank NAME]",
            Self::Kind => "[kind NAME]",
            Self::Workspace => "[workspace NAME]",
            Self::WorkspaceKind => "[workspace NAME kind KIND]",
            Self::Pool => "[pool NAME]",
            Self::Domain => "[domain NAME]",
            Self::Server => "[server NAME]",
            Self::Operator => "[operator NAME]",
        })
    }
}

/// The name of a section. The order of the variants is the order in which sections are printed.
///
/// ```
/// use berylwheel_settings::{Level, SectionName};
/// let name: SectionName = "workspace w1  kind chat".parse().unwrap();
/// assert_eq!(name.level(), Level::WorkspaceKind);
/// assert_eq!(name.to_string(), "workspace w1 kind chat");
/// assert!("worksapce w1".parse::<SectionName>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionName {
    /// `[router]`.
    Router,
    /// `[fleet]`.
    Fleet,
    /// `[rank NAME]`.
    Rank(Rank),
    /// `[kind NAME]`.
    Kind(KindId),
    /// `[workspace NAME]`.
    Workspace(WorkspaceId),
    /// `[workspace NAME kind KIND]`.
    WorkspaceKind(WorkspaceId, KindId),
    /// `[pool NAME]`.
    Pool(KindId),
    /// `[domain NAME]`.
    Domain(FailureDomain),
    /// `[server NAME]`.
    Server(BackendId),
    /// `[operator NAME]`.
    Operator(String),
}

impl SectionName {
    /// Returns the level of the section.
    pub const fn level(&self) -> Level {
        match self {
            Self::Router => Level::Router,
            Self::Fleet => Level::Fleet,
            Self::Rank(_) => Level::Rank,
            Self::Kind(_) => Level::Kind,
            Self::Workspace(_) => Level::Workspace,
            Self::WorkspaceKind(..) => Level::WorkspaceKind,
            Self::Pool(_) => Level::Pool,
            Self::Domain(_) => Level::Domain,
            Self::Server(_) => Level::Server,
            Self::Operator(_) => Level::Operator,
        }
    }
}

/// Parses a name that must not contain a slash, such as that of a workspace or kind. The name
/// becomes a part of paths and store keys, where a slash would make names collide.
fn parse_without_slash<T: FromStr<Err = ParseIdError>>(name: &str) -> Result<T, ParseIdError> {
    if name.contains('/') {
        return Err(ParseIdError { expected: "a name without a slash" });
    }
    name.parse()
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Router => f.write_str("router"),
            Self::Fleet => f.write_str("fleet"),
            Self::Rank(rank) => write!(f, "rank {rank}"),
            Self::Kind(kind) => write!(f, "kind {kind}"),
            Self::Workspace(workspace) => write!(f, "workspace {workspace}"),
            Self::WorkspaceKind(workspace, kind) => write!(f, "workspace {workspace} kind {kind}"),
            Self::Pool(pool) => write!(f, "pool {pool}"),
            Self::Domain(domain) => write!(f, "domain {domain}"),
            Self::Server(server) => write!(f, "server {server}"),
            Self::Operator(name) => write!(f, "operator {name}"),
        }
    }
}

impl FromStr for SectionName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let words: Vec<&str> = text.split_whitespace().collect();
        match words[..] {
            ["router"] => Ok(Self::Router),
            ["fleet"] => Ok(Self::Fleet),
            ["rank", name] => Ok(Self::Rank(name.parse()?)),
            ["kind", name] => Ok(Self::Kind(parse_without_slash(name)?)),
            ["workspace", name] => Ok(Self::Workspace(parse_without_slash(name)?)),
            ["workspace", name, "kind", kind] => {
                Ok(Self::WorkspaceKind(parse_without_slash(name)?, parse_without_slash(kind)?))
            }
            ["pool", name] => Ok(Self::Pool(parse_without_slash(name)?)),
            ["domain", name] => Ok(Self::Domain(name.parse()?)),
            ["server", name] => Ok(Self::Server(name.parse()?)),
            // Operator names follow the same rules as backend server ids.
            ["operator", name] => name.parse().map(|id: BackendId| Self::Operator(id.to_string())),
            _ => Err(ParseIdError {
                expected: "router, fleet, rank NAME, kind NAME, workspace NAME, \
                           workspace NAME kind KIND, pool NAME, domain NAME, server NAME or \
                           operator NAME",
            }),
        }
    }
}
