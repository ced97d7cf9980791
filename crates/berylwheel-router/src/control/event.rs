//! Events that the control thread handles.

use async_channel::Sender;
use berylwheel_budget::LedgerPage;
use berylwheel_budget::PageId;
use berylwheel_budget::WriteResult;
use berylwheel_config::Part;
use berylwheel_config::Root;
use berylwheel_peer::InboundMessage;
use berylwheel_peer::PeerIdentity;
use berylwheel_route::LoadReport;
use berylwheel_route::ServerListEvent;
use berylwheel_route::ServerSignal;
use berylwheel_route::WorkSample;
use berylwheel_settings::RouterSettings;
use berylwheel_types::BackendId;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastSet;
use berylwheel_types::Incarnation;
use berylwheel_types::KindId;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::control::command::Command;
use crate::control::effects::CacheReport;
use crate::control::quarantine::BrokenAttempt;
use crate::fleet::registry::RouterEntry;
use crate::forward::OperatorConfig;

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
    /// Stopped.
    Gone,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the router or backend server that runs on it.
    pub name: String,
    /// Network address.
    #[serde(default)]
    pub address: String,
    /// Failure domain.
    #[serde(default)]
    pub domain: String,
    /// State.
    pub state: VmState,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A message from a traffic thread.
    Command(Command),
    /// A ledger page was read at a revision, which is 0 if the page does not exist, and in an era of
    /// the store.
    PageRead(PageId, u64, LedgerPage, StoreEra),
    /// A ledger page could not be read.
    PageReadFailed(PageId),
    /// The write of a ledger page, sent in an era of the store, has ended.
    PageWritten(PageId, WriteResult, StoreEra),
    /// A backend server reported its load.
    LoadReported(BackendId, LoadReport),
    /// An engine added prefixes to its cache or evicted them.
    CacheChanged(BackendId, Vec<CacheReport>),
    /// A backend server refused a request because it is draining.
    ServerDraining(BackendId),
    /// A backend server said something about itself in a response.
    ServerSignal(BackendId, ServerSignal),
    /// A request's connection to a server ended without an answer or at its very beginning.
    AttemptBroken(BrokenAttempt),
    /// A request showed how long a backend server takes for work of a pool.
    WorkMeasured(BackendId, KindId, WorkSample),
    /// A backend server refuses connections, so its process has ended.
    ServerRefused(BackendId),
    /// A check of a backend server that began at this time has found it running.
    ServerRunning(BackendId, Timestamp),
    /// Quarantined prompt parts were read from the store.
    HoldsRead(Vec<PartHold>),
    /// The write of the quarantined prompt parts has ended; true if it succeeded.
    HoldsWritten(bool),
    /// An operator releases a quarantined prompt part. The reply tells whether it was quarantined.
    PartReleased(PromptPartId, Sender<bool>),
    /// The platform's VM list was read.
    VmListRead(Vec<Vm>),
    /// A message from another router.
    PeerMessage(InboundMessage),
    /// The configuration root was read from the store.
    RootRead(Option<Root>),
    /// Configuration parts were read from the store.
    PartsRead(Root, Vec<Part>),
    /// The configuration could not be read from the store.
    ConfigReadFailed,
    /// The list of routers was read.
    RegistryRead(Vec<RouterEntry>),
    /// This router was added to the list of routers.
    RouterRegistered,
    /// A write or renewal of this router's entry, sent at the given time, has succeeded.
    EntryConfirmed(Timestamp),
    /// The set of evacuated failure domains was read from the platform's store.
    DomainsEvacuated(FastSet<FailureDomain>),
    /// The operator's configuration was read from the platform's store.
    ExternalConfigRead(Box<OperatorConfig>),
    /// The operator's configuration cannot be decoded. Contains the revision of its store entry.
    ExternalConfigUnreadable(u64),
    /// All that the store had of the operator's keys at this time was applied.
    OperatorKeysCurrent(Timestamp),
    /// The platform's list of backend servers was read or has changed.
    ServerListEvent(ServerListEvent),
    /// The certificates for the link to the other routers are available.
    IdentityIssued(PeerIdentity),
    /// A router process is known to have ended.
    RunEnded(Incarnation),
    /// A reclaim has ended; true if it succeeded.
    ReclaimEnded(Incarnation, bool),
    /// Asks for a dump of the state.
    DumpRequested(Sender<Value>),
    /// The router's own settings were reloaded.
    SettingsReloaded(Box<RouterSettings>),
    /// The certificates for the link to the other routers were reloaded.
    IdentityReloaded(PeerIdentity),
    /// Announces a graceful shutdown, which follows shortly.
    AnnounceShutdown,
    /// Starts a graceful shutdown.
    Drain,
    /// Refuses the queued requests, since the rest of the shutdown is too short to serve them.
    EndQueued,
    /// Cancels the requests whose answers have not begun, since the shutdown is almost over.
    EndWaiting,
}

impl Event {
    /// Returns the name of the group of events that this one is counted in.
    pub const fn group(&self) -> &'static str {
        match self {
            Self::Command(_) => "command",
            Self::PageRead(..) | Self::PageReadFailed(_) | Self::PageWritten(..) => "ledger",
            Self::LoadReported(..)
            | Self::CacheChanged(..)
            | Self::ServerDraining(_)
            | Self::ServerSignal(..)
            | Self::AttemptBroken(_)
            | Self::WorkMeasured(..)
            | Self::ServerRefused(_)
            | Self::ServerRunning(..) => "server",
            Self::DomainsEvacuated(_) => "evacuation",
            Self::ServerListEvent(_) | Self::VmListRead(_) => "server_list",
            Self::PeerMessage(inbound) => inbound.message.kind(),
            Self::RootRead(_)
            | Self::PartsRead(..)
            | Self::ConfigReadFailed
            | Self::ExternalConfigRead(_)
            | Self::ExternalConfigUnreadable(_)
            | Self::OperatorKeysCurrent(_) => "configuration",
            Self::RegistryRead(_) | Self::RouterRegistered | Self::EntryConfirmed(_) => "registry",
            Self::RunEnded(_) | Self::ReclaimEnded(..) => "reclaim",
            Self::HoldsRead(_) | Self::HoldsWritten(_) | Self::PartReleased(..) => "quarantine",
            Self::DumpRequested(_) => "dump",
            Self::SettingsReloaded(_) | Self::IdentityIssued(_) | Self::IdentityReloaded(_) => {
                "reload"
            }
            Self::AnnounceShutdown | Self::Drain | Self::EndQueued | Self::EndWaiting => "stop",
        }
    }
}
