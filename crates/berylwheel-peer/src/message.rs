//! Messages between routers and their encoding.

use std::fmt;
use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::FailureDomain;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanAnswer;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use berylwheel_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::bounded;

/// The most bytes of an encoded message.
pub const FRAME_LIMIT: usize = 1 << 20;

/// Router states in a heartbeat; routers send 8.
const STATE_LIMIT: usize = 64;

/// Shares of service in a heartbeat; routers send 16 for each of three classes.
const SHARE_LIMIT: usize = 256;

/// Parts of the configuration in one message; there are 64.
const PART_LIMIT: usize = 1_024;

/// A message from one router to another.
///
/// The order of the variants and fields is part of the protocol: new ones come last.
///
/// ```
/// use berylwheel_peer::Message;
/// use berylwheel_types::Version;
/// let message = Message::ConfigVersion { version: Version(7) };
/// let frame = message.encode().unwrap();
/// assert_eq!(Message::decode(&frame).unwrap(), message);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's own state and that of some other routers, every second.
    Heartbeat {
        /// The sender's name and run.
        incarnation: Incarnation,
        /// Rises with each heartbeat of the run.
        counter: u64,
        /// The failure domain that the sender runs in.
        domain: FailureDomain,
        /// Where the sender takes peer messages.
        address: SocketAddr,
        /// The version of the configuration that the sender serves with.
        version: Option<Version>,
        /// Whether the sender is about to stop.
        draining: bool,
        /// What the sender knows of other routers.
        #[serde(deserialize_with = "bounded::list::<_, _, STATE_LIMIT>")]
        others: Vec<PeerState>,
        /// What the sender has served, for fairness across routers.
        #[serde(deserialize_with = "bounded::list::<_, _, SHARE_LIMIT>")]
        served: Vec<ServedShare>,
        /// The sender's clock.
        clock: Timestamp,
        /// Whether the sender reaches the platform's store.
        reaches: bool,
    },
    /// The sender has this version of the configuration.
    ConfigVersion {
        /// The version.
        version: Version,
    },
    /// The sender asks for a version of the configuration.
    ConfigPull {
        /// The version asked for.
        version: Version,
        /// Digests of the parts that the sender has.
        #[serde(deserialize_with = "bounded::list::<_, _, PART_LIMIT>")]
        have: Vec<String>,
    },
    /// The root of a version, and the parts that the receiver lacks.
    ConfigParts {
        /// The encoded root.
        root: Vec<u8>,
        /// Number and content of each part.
        #[serde(deserialize_with = "bounded::list::<_, _, PART_LIMIT>")]
        parts: Vec<(u32, Vec<u8>)>,
    },
    /// The sender asks for what is not reserved of a budget.
    Recall {
        /// The budget.
        budget: BudgetId,
    },
    /// The sender asks the home router of a request whether it may run it.
    Claim {
        /// Names the question in the answer.
        id: u64,
        /// The request.
        key: BillKey,
        /// The attempt that would run.
        attempt: RequestId,
        /// The run of the router that would run it.
        owner: Incarnation,
        /// Digest of the request's content.
        digest: u64,
    },
    /// The answer to a claim.
    ClaimAnswer {
        /// The id of the claim.
        id: u64,
        /// What the home router knows of the request.
        answer: ClaimState,
    },
    /// A claimed request has ended.
    ClaimEnd {
        /// The request.
        key: BillKey,
        /// The attempt that ended.
        attempt: RequestId,
        /// Whether the caller was sent the whole answer.
        delivered: bool,
    },
    /// A backend server leaves and takes no new work.
    Leaving {
        /// The server.
        server: BackendId,
    },
    /// The sender asks the receiver to reserve tokens for a request.
    Borrow {
        /// Names the loan between the two.
        id: u64,
        /// The sender's run.
        owner: Incarnation,
        /// The budget.
        budget: BudgetId,
        /// The most that the request can use.
        amount: Tokens,
        /// How long the request may take, in milliseconds.
        time: Millis,
    },
    /// The answer to a question for a loan.
    Lent {
        /// Names the loan.
        id: u64,
        /// The borrower's run.
        owner: Incarnation,
        /// Whether the tokens are reserved.
        answer: LoanAnswer,
    },
    /// A request whose tokens the receiver has reserved has ended.
    Repaid {
        /// Names the loan.
        id: u64,
        /// The sender's run.
        owner: Incarnation,
        /// What the request used.
        used: Tokens,
    },
    /// The sender reaches the platform's store again.
    StoreRegained,
}

/// What a home router knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// No other attempt is known.
    First,
    /// Another attempt runs.
    Running,
    /// Another attempt has delivered its answer.
    Finished,
    /// The key was used for a different request.
    Reused,
}

/// What one router knows of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The router's name and run.
    pub incarnation: Incarnation,
    /// The highest heartbeat counter seen of that run.
    pub counter: u64,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// Where it takes peer messages.
    pub address: SocketAddr,
    /// The version of the configuration that it serves with.
    pub version: Option<Version>,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Whether the sender suspects that it has failed.
    pub suspect: bool,
}

/// Tokens that a router has served to a workspace in one priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedShare {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The priority class.
    pub rank: Rank,
    /// Tokens served.
    pub tokens: Tokens,
}

/// A message that is over [`FRAME_LIMIT`] when encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EncodeError {
    /// The encoded size in bytes, zero if the message cannot be encoded at all.
    pub size: usize,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message of {} bytes, the limit is {FRAME_LIMIT}", self.size)
    }
}

impl std::error::Error for EncodeError {}

/// Bytes that are no message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// More than [`FRAME_LIMIT`] bytes.
    TooLarge,
    /// Bytes after the end of the message.
    Trailing(usize),
    /// Anything else.
    Malformed(postcard::Error),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "frame over {FRAME_LIMIT} bytes"),
            Self::Trailing(count) => write!(f, "{count} bytes after the message"),
            Self::Malformed(error) => write!(f, "malformed message: {error}"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// Returns the frame of the message.
    ///
    /// # Errors
    ///
    /// Fails if the frame would be over [`FRAME_LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let frame = postcard::to_stdvec(self).map_err(|_| EncodeError { size: 0 })?;
        if frame.len() > FRAME_LIMIT {
            return Err(EncodeError { size: frame.len() });
        }
        Ok(frame)
    }

    /// Reads the message of a frame. Memory use is bounded by a small multiple of [`FRAME_LIMIT`].
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large, malformed, or longer than its message.
    pub fn decode(frame: &[u8]) -> Result<Self, DecodeError> {
        if frame.len() > FRAME_LIMIT {
            return Err(DecodeError::TooLarge);
        }
        let (message, rest) = postcard::take_from_bytes(frame).map_err(DecodeError::Malformed)?;
        if !rest.is_empty() {
            return Err(DecodeError::Trailing(rest.len()));
        }
        Ok(message)
    }
}
