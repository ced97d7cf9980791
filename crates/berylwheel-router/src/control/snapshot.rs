//! What the traffic threads read without waiting.

use std::sync::Arc;

use arc_swap::ArcSwap;
use berylwheel_config::AccessTable;
use berylwheel_config::PathTable;
use berylwheel_settings::Settings;
use berylwheel_types::Code;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Version;

/// Time after which a caller tries a router again that does not serve.
const RETRY_AFTER: Millis = Millis(1_000);

/// Whether a router takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// The configuration is not known yet.
    Starting,
    /// New work is taken.
    Open,
    /// The router is shutting down.
    Draining,
}

/// The configuration in force.
#[derive(Debug)]
pub struct Snapshot {
    /// Whether new work is taken.
    pub serving: Serving,
    /// Version of the settings.
    pub version: Version,
    /// The settings, empty before the first version is known.
    pub settings: Option<Settings>,
    /// Who may call.
    pub access: AccessTable,
    /// The kinds that are found by host and path.
    pub paths: PathTable,
    /// Router processes that have ended.
    pub ended: FastSet<Incarnation>,
}

impl Snapshot {
    /// Returns the settings if the router takes new work.
    ///
    /// # Errors
    /// [`Code::ConfigurationUnknown`] or [`Code::Draining`].
    pub fn open(&self) -> Result<&Settings, Refusal> {
        match (self.serving, &self.settings) {
            (Serving::Open, Some(settings)) => Ok(settings),
            (Serving::Draining, _) => Err(Refusal::not_run(
                Code::Draining,
                "streams in progress finish, new work is refused",
            )
            .retry_after(RETRY_AFTER)),
            _ => Err(Refusal::not_run(
                Code::ConfigurationUnknown,
                "neither the store nor enough peers have answered yet",
            )
            .retry_after(RETRY_AFTER)),
        }
    }
}

/// The snapshot that the control thread replaces and the traffic threads read.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;
