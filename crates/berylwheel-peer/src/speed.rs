//! What routers tell each other about the speed of backend servers.

use berylwheel_types::BackendId;
use berylwheel_types::Millis;
use serde::Deserialize;
use serde::Serialize;

/// How fast a backend server worked for the sender of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSpeed {
    /// The backend server.
    pub server: BackendId,
    /// The class of work: 0 for reading prompts, 1 for generating tokens, 2 for plain calls.
    pub class: u8,
    /// The mean ratio of the time that the work took to the time that it takes at other servers of
    /// the pool, in thousandths.
    pub permille: u32,
    /// The number of samples.
    pub samples: u32,
    /// The time since the last of them.
    pub age: Millis,
}
