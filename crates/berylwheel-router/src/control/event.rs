//! What reaches the control thread.

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
use berylwheel_settings::RouterSettings;
use berylwheel_types::BackendId;
use berylwheel_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::control::command::Command;
use crate::control::effects::CacheReport;
use crate::fleet::registry::Registered;
use crate::forward::OperatorConfig;

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be stopped.
    Leaving,
    /// It is no more.
    Gone,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name: a router's or a backend server's.
    pub name: String,
    /// Its address.
    #[serde(default)]
    pub address: String,
    /// Its failure domain.
    #[serde(default)]
    pub domain: String,
    /// Its state.
    pub state: VmState,
}

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A message from a traffic thread.
    Command(Command),
    /// A ledger page was read at a revision, 0 if it does not exist.
    PageRead(PageId, u64, LedgerPage),
    /// A ledger page could not be read.
    ReadFailed(PageId),
    /// A ledger page was written, or not.
    PageWritten(PageId, WriteResult),
    /// A backend server reported its load.
    Load(BackendId, LoadReport),
    /// An engine's cache took prefixes up or dropped them.
    Cache(BackendId, Vec<CacheReport>),
    /// A backend server refused work because it is draining.
    Draining(BackendId),
    /// The platform's list was read.
    Vms(Vec<Vm>),
    /// A message from another router.
    Peer(InboundMessage),
    /// The store's root of the configuration.
    RootRead(Option<Root>),
    /// Parts of the configuration that the store holds.
    PartsRead(Root, Vec<Part>),
    /// The store did not answer about the configuration.
    ConfigFailed,
    /// The list of routers was read.
    Registry(Vec<Registered>),
    /// This router is in the list.
    Registered,
    /// The operator's configuration, as the platform's store holds it.
    Stated(Box<OperatorConfig>),
    /// News of the backend servers that the platform's store lists.
    Servers(ServerListEvent),
    /// This router's certificates for the link to the others.
    Identity(PeerIdentity),
    /// There is evidence that a router process has ended.
    Ended(Incarnation),
    /// A reclaim has ended, and whether it was done.
    Reclaimed(Incarnation, bool),
    /// Asks for the state.
    Dump(Sender<Value>),
    /// Brings the router's own settings, read again.
    Settings(Box<RouterSettings>),
    /// Brings the certificates of the link to the other routers.
    Reload(PeerIdentity),
    /// Tells that a graceful shutdown follows soon.
    Depart,
    /// Asks for a graceful shutdown.
    Drain,
}
