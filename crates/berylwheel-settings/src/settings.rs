//! Parsed and validated settings.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::KindId;
use berylwheel_types::Rank;
use berylwheel_types::WorkspaceId;

use crate::Adopted;
use crate::Edit;
use crate::Effective;
use crate::FleetSettings;
use crate::KindSettings;
use crate::Level;
use crate::OperatorSettings;
use crate::Origin;
use crate::PoolSettings;
use crate::RankSettings;
use crate::RouterSettings;
use crate::SectionName;
use crate::ServerSettings;
use crate::SettingError;
use crate::SettingErrors;
use crate::WorkspaceSettings;
use crate::adopt;
use crate::check;
use crate::consistency;
use crate::edit;
use crate::raw;
use crate::raw::Document;
use crate::raw::Section;
use crate::read;
use crate::read::ReadResult;
use crate::read::SectionChain;
use crate::schema;

/// Settings that were validated as a whole. Cheap to clone.
///
/// ```
/// use berylwheel_settings::Settings;
/// let text = "[kind chat]\nservice = engine\nmodels = m1\n[workspace w]\nmax_tokens = 100\n";
/// let settings = Settings::parse("fleet.ini", text).unwrap();
/// let kind = &settings.kinds()[0];
/// assert_eq!(kind.max_tokens.0, 4_096);
/// let kind = settings.kind_of(&"w".parse().unwrap(), &kind.id).unwrap();
/// assert_eq!(kind.max_tokens.0, 100);
/// ```
#[derive(Debug, Clone)]
pub struct Settings(Arc<Inner>);

/// The kinds with the overrides of one workspace, filled on demand.
type KindCache = Mutex<FastMap<KindId, KindSettings>>;

#[derive(Debug)]
struct Inner {
    document: Document,
    router: RouterSettings,
    fleet: FleetSettings,
    ranks: [RankSettings; 3],
    kinds: Vec<KindSettings>,
    workspaces: Vec<WorkspaceSettings>,
    servers: Vec<ServerSettings>,
    operators: Vec<OperatorSettings>,
    pools: Vec<PoolSettings>,
    evacuated: Vec<FailureDomain>,
    /// The overridden kinds of each workspace; `None` if the workspace overrides nothing. Filled on
    /// demand, since there may be too many combinations of kinds and workspaces to read all.
    overrides: FastMap<WorkspaceId, Option<KindCache>>,
}

impl Settings {
    /// Parses and validates `text`. `file` is the name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text; it is accepted only if there are none.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let (document, errors) = raw::parse(file, text);
        Self::build(document, errors)
    }

    /// Reads the settings that an accepted configuration stands for. Whatever cannot be used as it
    /// is written is repaired by itself, so that the rest takes effect: a number out of its bounds
    /// is set to the nearest one, another invalid value is left out, and so is a section without a
    /// value that it needs. A caller key that several workspaces have belongs to none of them.
    ///
    /// ```
    /// use berylwheel_settings::Settings;
    /// let adopted = Settings::adopt("accepted", "[fleet]\nqueue = 99999999\n").unwrap();
    /// assert_eq!(adopted.settings.to_ini(), "[fleet]\nqueue = 1000000\n");
    /// assert_eq!(adopted.repairs.len(), 1);
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the errors that are left if a repair changes nothing.
    pub fn adopt(file: &str, text: &str) -> Result<Adopted, SettingErrors> {
        let (document, errors) = raw::parse(file, text);
        adopt::adopt(document, errors)
    }

    pub(crate) fn build(
        document: Document,
        mut errors: Vec<SettingError>,
    ) -> Result<Self, SettingErrors> {
        errors.extend(check::check(&document));
        errors.extend(consistency::check(&document));
        if !errors.is_empty() {
            errors.sort_by_key(|error| error.line);
            return Err(SettingErrors(errors));
        }
        match build_inner(document) {
            Ok(inner) => Ok(Self(Arc::new(inner))),
            Err(error) => Err(SettingErrors(vec![*error])),
        }
    }

    /// Returns a copy of the settings with `edits` applied.
    ///
    /// # Errors
    ///
    /// Returns all errors of the edits and the result.
    pub fn edit(&self, edits: &[Edit]) -> Result<Self, SettingErrors> {
        let mut document = self.0.document.clone();
        let errors = edit::apply(&mut document, edits);
        Self::build(document, errors)
    }

    /// Returns the settings as INI text: sections by level and name, keys by name, no comments.
    pub fn to_ini(&self) -> String {
        format_ini(&self.0.document)
    }

    /// Returns every effective value, section by section, with its origin.
    ///
    /// The settings of a kind for a workspace are listed if there is a section for the pair.
    pub fn effective(&self) -> Vec<Effective> {
        let document = &self.0.document;
        let always_listed =
            [SectionName::Fleet].into_iter().chain(Rank::ALL.map(SectionName::Rank));
        let mut names: Vec<SectionName> =
            always_listed.chain(document.sections.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names.into_iter().flat_map(|name| effective(document, &name)).collect()
    }

    /// Returns the sections with their keys and values, in the order of [`Settings::to_ini`].
    pub fn sections(&self) -> impl Iterator<Item = (&SectionName, Vec<(&str, &str)>)> {
        self.0.document.sections.iter().map(|(name, section)| {
            let entries = section.entries.iter();
            (name, entries.map(|(key, entry)| (key.as_str(), entry.value.as_str())).collect())
        })
    }

    /// Returns whether there is a section `[router]`.
    pub fn has_router(&self) -> bool {
        self.0.document.sections.contains_key(&SectionName::Router)
    }

    /// Returns the router's own settings.
    pub fn router(&self) -> &RouterSettings {
        &self.0.router
    }

    /// Returns the limits of the fleet.
    pub fn fleet(&self) -> &FleetSettings {
        &self.0.fleet
    }

    /// Returns the service goals of `rank`.
    pub fn rank(&self, rank: Rank) -> &RankSettings {
        &self.0.ranks[rank.index()]
    }

    /// Returns the kinds of work, by name.
    pub fn kinds(&self) -> &[KindSettings] {
        &self.0.kinds
    }

    /// Returns `kind` with the overrides of `workspace`; `None` if either is unknown.
    pub fn kind_of(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<KindSettings> {
        let shared = self.kind(kind)?;
        let Some(cached) = self.0.overrides.get(workspace)? else {
            return Some(shared.clone());
        };
        let mut cache = cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(overridden) = cache.get(kind) {
            return Some(overridden.clone());
        }
        // All values were validated when the settings were built, so reading them does not fail.
        let overridden = read::kind(&self.0.document, Some(workspace), kind).ok()?;
        cache.insert(kind.clone(), overridden.clone());
        Some(overridden)
    }

    /// Returns `kind` without workspace overrides; `None` if it is unknown.
    pub fn kind(&self, kind: &KindId) -> Option<&KindSettings> {
        let index = self.0.kinds.binary_search_by(|k| k.id.cmp(kind)).ok()?;
        Some(&self.0.kinds[index])
    }

    /// Returns the pools of backend servers, by name.
    pub fn pools(&self) -> &[PoolSettings] {
        &self.0.pools
    }

    /// Returns the pool `id`; `None` if it is unknown.
    pub fn pool(&self, id: &KindId) -> Option<&PoolSettings> {
        let index = self.0.pools.binary_search_by(|pool| pool.id.cmp(id)).ok()?;
        Some(&self.0.pools[index])
    }

    /// Returns the evacuated failure domains, by name.
    ///
    /// ```
    /// use berylwheel_settings::Settings;
    /// let settings = Settings::parse("fleet.ini", "[domain d1]\nevacuated = yes\n[domain d2]\n").unwrap();
    /// assert_eq!(settings.evacuated_domains().len(), 1);
    /// ```
    pub fn evacuated_domains(&self) -> &[FailureDomain] {
        &self.0.evacuated
    }

    /// Returns the workspaces, by name.
    pub fn workspaces(&self) -> &[WorkspaceSettings] {
        &self.0.workspaces
    }

    /// Returns the workspace `id`; `None` if it is unknown.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceSettings> {
        let index = self.0.workspaces.binary_search_by(|workspace| workspace.id.cmp(id)).ok()?;
        Some(&self.0.workspaces[index])
    }

    /// Returns the backend servers, by name.
    pub fn servers(&self) -> &[ServerSettings] {
        &self.0.servers
    }

    /// Returns the operators, by name.
    pub fn operators(&self) -> &[OperatorSettings] {
        &self.0.operators
    }
}

fn format_ini(document: &Document) -> String {
    let mut text = String::new();
    for (name, Section { entries, .. }) in &document.sections {
        if !text.is_empty() {
            text.push('\n');
        }
        text.push_str(&format!("[{name}]\n"));
        for (key, entry) in entries {
            text.push_str(&format!("{key} = {}\n", entry.value));
        }
    }
    text
}

fn build_inner(document: Document) -> ReadResult<Inner> {
    let mut kinds = Vec::new();
    let mut workspaces = Vec::new();
    let mut servers = Vec::new();
    let mut operators = Vec::new();
    let mut pools = Vec::new();
    let mut evacuated = Vec::new();
    for name in document.sections.keys() {
        match name {
            SectionName::Kind(id) => kinds.push(read::kind(&document, None, id)?),
            SectionName::Workspace(id) => workspaces.push(read::workspace(&document, id)?),
            SectionName::Pool(id) => pools.push(read::pool(&document, id)?),
            SectionName::Domain(id) if read::is_evacuated(&document, id)? => {
                evacuated.push(id.clone());
            }
            SectionName::Domain(_) => {}
            SectionName::Server(id) => servers.push(read::server(&document, id)?),
            SectionName::Operator(id) => operators.push(read::operator(&document, id)?),
            SectionName::Router | SectionName::Fleet | SectionName::Rank(_) => {}
            SectionName::WorkspaceKind(..) => {}
        }
    }
    let mut overrides: FastMap<WorkspaceId, Option<KindCache>> =
        workspaces.iter().map(|workspace| (workspace.id.clone(), None)).collect();
    for (name, section) in &document.sections {
        let id = match name {
            SectionName::Workspace(id) if section.entries.keys().any(|k| is_kind_override(k)) => id,
            SectionName::WorkspaceKind(id, _) => id,
            _ => continue,
        };
        if let Some(cache) = overrides.get_mut(id) {
            cache.get_or_insert_default();
        }
    }
    let [urgent, normal, batch] = Rank::ALL;
    Ok(Inner {
        router: read::router(&document)?,
        fleet: read::fleet(&document)?,
        ranks: [
            read::rank(&document, urgent)?,
            read::rank(&document, normal)?,
            read::rank(&document, batch)?,
        ],
        kinds,
        workspaces,
        servers,
        operators,
        pools,
        evacuated,
        overrides,
        document,
    })
}

/// Returns whether `key` in a workspace's section overrides a key of a kind.
fn is_kind_override(key: &str) -> bool {
    schema::find(Level::Workspace, key).is_some_and(|spec| spec.levels.contains(&Level::Kind))
}

/// Returns the effective values of the section `name`.
fn effective(document: &Document, name: &SectionName) -> Vec<Effective> {
    let chain = match name {
        SectionName::Kind(kind) => SectionChain::of_kind(document, None, kind),
        SectionName::WorkspaceKind(workspace, kind) => {
            SectionChain::of_kind(document, Some(workspace), kind)
        }
        _ => SectionChain::new(document, vec![name.clone()]),
    };
    let value = |key: &str| match name {
        SectionName::Rank(rank) if document.get(name, key).is_none() => {
            Some((schema::rank_default(*rank, key), Origin::Default))
        }
        _ => chain.lookup(key),
    };
    let mut keys: Vec<&str> = schema::keys_at(name.level()).map(|spec| spec.key).collect();
    if matches!(name, SectionName::Workspace(_)) {
        // Values that a workspace does not override differ by kind, so they are not listed here.
        keys.retain(|key| {
            document.get(name, key).is_some() || schema::is_not_override(Level::Workspace, key)
        });
        let entries = document.sections.get(name).into_iter().flat_map(|s| s.entries.keys());
        keys.extend(
            entries.map(String::as_str).filter(|k| k.starts_with(schema::CALLER_KEY_PREFIX)),
        );
    }
    let effective_value = |key: &str| {
        let (value, origin) = value(key)?;
        Some(Effective {
            section: name.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            origin,
        })
    };
    keys.into_iter().filter_map(effective_value).collect()
}
