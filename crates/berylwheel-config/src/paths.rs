//! Lookup of a request's kind of work by host and path.

use berylwheel_settings::Settings;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;

/// The kinds of work that are matched by host and path prefix.
///
/// ```
/// use berylwheel_config::PathTable;
/// use berylwheel_settings::Settings;
/// let text = "[pool p]\n\
///     [kind a]\nservice = plain\nrepeat = once\nhost = h.example\npath = /a/\npools = p\n\
///     [kind b]\nservice = plain\nrepeat = once\nhost = h.example\npath = /a/b/\npools = p\n";
/// let table = PathTable::new(&Settings::parse("a", text).unwrap());
/// assert_eq!(table.find("h.example", "/a/b/c").unwrap().as_str(), "b");
/// assert_eq!(table.find("H.example:80", "/a/c").unwrap().as_str(), "a");
/// assert_eq!(table.find("h.example", "/b"), None);
/// assert_eq!(table.find("[::1]", "/b"), None);
/// ```
#[derive(Debug, Default)]
pub struct PathTable {
    /// The path prefixes of each host, longest first.
    hosts: FastMap<String, Vec<(String, KindId)>>,
}

impl PathTable {
    /// Builds the table from `settings`.
    pub fn new(settings: &Settings) -> Self {
        let mut hosts: FastMap<String, Vec<(String, KindId)>> = FastMap::default();
        for kind in settings.kinds() {
            if let (Some(host), Some(path)) = (&kind.host, &kind.path) {
                let paths = hosts.entry(without_port(host).to_ascii_lowercase()).or_default();
                paths.push((path.clone(), kind.id.clone()));
            }
        }
        for paths in hosts.values_mut() {
            paths.sort_by_key(|(path, _)| std::cmp::Reverse(path.len()));
        }
        Self { hosts }
    }

    /// Returns the kind with the longest configured path that is a prefix of `path`. The host is
    /// compared without its port and without regard to case.
    pub fn find(&self, host: &str, path: &str) -> Option<&KindId> {
        let host = without_port(host);
        let paths = match self.hosts.get(host) {
            Some(paths) => paths,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        paths.iter().find(|(prefix, _)| path.starts_with(prefix.as_str())).map(|(_, kind)| kind)
    }
}

/// Returns the host of a `Host` header without its port. The colons of an IPv6 address are within
/// brackets.
///
/// ```
/// use berylwheel_config::without_port;
/// assert_eq!(without_port("shop.example:80"), "shop.example");
/// assert_eq!(without_port("[::1]"), "[::1]");
/// ```
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
