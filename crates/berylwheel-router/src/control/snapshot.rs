//! State that the traffic threads read without blocking on the control thread.

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

/// Retry delay for a caller that has to reconnect to another router, which may serve it at once.
pub(crate) const RECONNECT_DELAY: Millis = Millis(50);
/// Retry delay for a caller of a router that does not know its configuration yet. The others may
/// have started at the same time.
const START_DELAY: Millis = Millis(1_000);

/// Whether a router accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// Not yet: the configuration is not confirmed.
    Starting,
    /// Yes.
    Open,
    /// No longer: the router is shutting down.
    Draining,
}

/// The configuration in force and other state for the traffic threads.
#[derive(Debug)]
pub struct Snapshot {
    /// Whether new requests are accepted.
    pub serving: Serving,
    /// Version of the settings.
    pub version: Version,
    /// The settings, or `None` before the first version is known.
    pub settings: Option<Settings>,
    /// Keys of callers and operators.
    pub access: AccessTable,
    /// Kinds of work by host and path.
    pub paths: PathTable,
    /// Router processes that are known to have ended.
    pub ended_runs: FastSet<Incarnation>,
}

impl Snapshot {
    /// Returns the settings if the router accepts new requests.
    ///
    /// # Errors
    /// [`Code::ConfigurationUnknown`] or [`Code::Draining`].
    pub fn serving_settings(&self) -> Result<&Settings, Refusal> {
        match (self.serving, &self.settings) {
            (Serving::Open, Some(settings)) => Ok(settings),
            (Serving::Draining, _) => Err(Refusal::not_run(
                Code::Draining,
                "running streams complete, new requests are refused",
            )
            .retry_after(RECONNECT_DELAY)),
            _ => Err(Refusal::not_run(
                Code::ConfigurationUnknown,
                "neither the store nor enough peers have confirmed the configuration",
            )
            .retry_after(START_DELAY)),
        }
    }
}

/// The current snapshot, which the control thread replaces as a whole.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;
