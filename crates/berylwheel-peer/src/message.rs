//! Messages between routers and their encoding.

use std::fmt;
use std::net::SocketAddr;

use berylwheel_types::BackendId;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::FailureDomain;
use berylwheel_types::Incarnation;
use berylwheel_types::LoanResponse;
use berylwheel_types::Millis;
use berylwheel_types::PartHold;
use berylwheel_types::PromptPartId;
use berylwheel_types::Rank;
use berylwheel_types::RequestId;
use berylwheel_types::SuspectRequest;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use berylwheel_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::FeedNews;
use crate::bounded;
use crate::speed::ServerSpeed;

/// The maximum size of an encoded message, in bytes.
pub const FRAME_LIMIT: usize = 1 << 20;

/// The maximum number of router states accepted in a heartbeat. Routers send 8.
const STATE_COUNT_LIMIT: usize = 64;

/// The maximum number of served shares accepted in a heartbeat. Routers send 16 for each of the
/// three priority classes.
const SHARE_COUNT_LIMIT: usize = 256;

/// The maximum number of configuration parts accepted in a message. A configuration has 64.
const PART_COUNT_LIMIT: usize = 1_024;

/// The maximum number of requests, prompt parts or holds accepted in a message about prompt parts.
const SUSPECT_COUNT_LIMIT: usize = 64;

/// The maximum number of prefixes accepted in news of the store. Routers watch two.
const FEED_COUNT_LIMIT: usize = 8;
/// The maximum number of entries accepted in a message about the speed of servers. Routers send 16.
const SPEED_COUNT_LIMIT: usize = 64;

/// A message from one router to another.
///
/// The encoding depends on the order of variants and fields, so new ones must be added at the end.
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
    /// The state of the sender and of some other routers, sent every second.
    Heartbeat {
        /// The incarnation of the sender.
        incarnation: Incarnation,
        /// A counter that increases with each heartbeat of the incarnation.
        counter: u64,
        /// The failure domain of the sender.
        domain: FailureDomain,
        /// The address at which the sender receives peer messages.
        address: SocketAddr,
        /// The configuration version that the sender uses, if it has one.
        version: Option<Version>,
        /// Whether the sender is shutting down.
        draining: bool,
        /// The sender's view of other routers.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, STATE_COUNT_LIMIT>")]
        others: Vec<PeerState>,
        /// The tokens that the sender has served, for fair scheduling across routers.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, SHARE_COUNT_LIMIT>")]
        served: Vec<ServedShare>,
        /// The current time of the sender's clock.
        clock: Timestamp,
        /// Whether the sender can reach the platform's store.
        reaches: bool,
    },
    /// Announces that the sender has a configuration version.
    ConfigVersion {
        /// The configuration version.
        version: Version,
    },
    /// Requests a configuration version from the receiver.
    ConfigPull {
        /// The requested version.
        version: Version,
        /// Digests of the parts that the sender already has.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, PART_COUNT_LIMIT>")]
        have: Vec<String>,
    },
    /// The response to a `ConfigPull`: the root of the version and the parts that the receiver
    /// lacks.
    ConfigParts {
        /// The encoded root.
        root: Vec<u8>,
        /// The number and content of each part.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, PART_COUNT_LIMIT>")]
        parts: Vec<(u32, Vec<u8>)>,
    },
    /// Requests the return of the unreserved tokens of a budget.
    Recall {
        /// The budget.
        budget: BudgetId,
    },
    /// Asks the home router of a request for permission to run it.
    Claim {
        /// Identifies the claim in the response.
        id: u64,
        /// The request.
        key: BillKey,
        /// The attempt to run.
        attempt: RequestId,
        /// The incarnation of the router that wants to run the attempt.
        owner: Incarnation,
        /// A digest of the request's content.
        digest: u64,
    },
    /// The response to a claim.
    ClaimAnswer {
        /// The ID of the claim.
        id: u64,
        /// The state of the request at the home router.
        answer: ClaimState,
    },
    /// Reports that an attempt at a claimed request has ended.
    ClaimEnd {
        /// The request.
        key: BillKey,
        /// The attempt that ended.
        attempt: RequestId,
        /// Whether the complete response was sent to the caller.
        delivered: bool,
    },
    /// Reports that a backend server is leaving and accepts no new work.
    Leaving {
        /// The backend server.
        server: BackendId,
    },
    /// Asks the receiver to reserve tokens for a request of the sender.
    Borrow {
        /// Identifies the loan together with `owner`.
        id: u64,
        /// The incarnation of the sender, which is the borrower.
        owner: Incarnation,
        /// The budget.
        budget: BudgetId,
        /// The maximum number of tokens that the request can use.
        amount: Tokens,
        /// The maximum duration of the request.
        time: Millis,
    },
    /// The response to a `Borrow`.
    Lent {
        /// The ID of the loan.
        id: u64,
        /// The incarnation of the borrower.
        owner: Incarnation,
        /// Whether the tokens have been reserved.
        answer: LoanResponse,
    },
    /// Reports that a request that used a loan of the receiver has ended.
    Repaid {
        /// The ID of the loan.
        id: u64,
        /// The incarnation of the sender, which is the borrower.
        owner: Incarnation,
        /// The number of tokens that the request used.
        used: Tokens,
    },
    /// Reports that the sender can reach the platform's store again.
    StoreRegained,
    /// Reports requests that had no answer when their backend server ended.
    ServerEnded {
        /// The backend server.
        server: BackendId,
        /// The time since its end.
        age: Millis,
        /// The requests.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, SUSPECT_COUNT_LIMIT>")]
        suspects: Vec<SuspectRequest>,
    },
    /// Asks which prompt parts the receiver has answered.
    AnswerQuery {
        /// The prompt parts.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, SUSPECT_COUNT_LIMIT>")]
        parts: Vec<PromptPartId>,
        /// The maximum age of an answer.
        since: Millis,
    },
    /// Reports when the sender has last answered prompt parts.
    PartAnswers {
        /// The prompt parts, each with the time since the answer.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, SUSPECT_COUNT_LIMIT>")]
        answers: Vec<(PromptPartId, Millis)>,
    },
    /// Announces prompt parts whose requests are refused.
    Quarantine {
        /// The holds, including those that were released.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, SUSPECT_COUNT_LIMIT>")]
        holds: Vec<PartHold>,
    },
    /// Passes on what a router has read from the platform's store.
    StoreNews {
        /// The incarnation of the router that watches the store. The sender may only pass the
        /// message on.
        origin: Incarnation,
        /// The number of the message among those of its origin.
        sequence: u64,
        /// The watched prefixes.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, FEED_COUNT_LIMIT>")]
        feeds: Vec<FeedNews>,
    },
    /// Reports how fast backend servers worked for the sender since its last report. Sent together
    /// with a heartbeat, and only if there is something to report.
    ServerSpeeds {
        /// The servers.
        #[serde(deserialize_with = "bounded::deserialize_list::<_, _, SPEED_COUNT_LIMIT>")]
        speeds: Vec<ServerSpeed>,
    },
}

/// The state of a request at its home router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// No other attempt is known.
    First,
    /// Another attempt is running.
    Running,
    /// Another attempt has delivered its response.
    Finished,
    /// The idempotency key was used for a different request.
    Reused,
}

/// A router's view of another router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The incarnation of the router.
    pub incarnation: Incarnation,
    /// The highest heartbeat counter received from that incarnation.
    pub counter: u64,
    /// The failure domain of the router.
    pub domain: FailureDomain,
    /// The address at which the router receives peer messages.
    pub address: SocketAddr,
    /// The configuration version that the router uses, if it has one.
    pub version: Option<Version>,
    /// Whether the router is shutting down.
    pub draining: bool,
    /// Whether the sender suspects that the router has failed.
    pub suspect: bool,
}

/// The number of tokens that a router has served to a workspace in a priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedShare {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The priority class.
    pub rank: Rank,
    /// The number of tokens served.
    pub tokens: Tokens,
}

/// An error from encoding a message: it exceeds [`FRAME_LIMIT`] or cannot be serialized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EncodeError {
    /// The encoded size in bytes, or zero if the message cannot be serialized.
    pub size: usize,
}

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message of {} bytes exceeds the limit of {FRAME_LIMIT} bytes", self.size)
    }
}

impl std::error::Error for EncodeError {}

/// An error from decoding a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// The frame is larger than [`FRAME_LIMIT`].
    TooLarge,
    /// The frame has this number of bytes after the end of the message.
    Trailing(usize),
    /// The message cannot be deserialized.
    Malformed(postcard::Error),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "frame exceeds the limit of {FRAME_LIMIT} bytes"),
            Self::Trailing(count) => write!(f, "{count} trailing bytes after the message"),
            Self::Malformed(error) => write!(f, "malformed message: {error}"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl Message {
    /// Returns the name of the kind of message, for statistics.
    ///
    /// ```
    /// use berylwheel_peer::Message;
    /// assert_eq!(Message::StoreRegained.kind(), "store_regained");
    /// ```
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "heartbeat",
            Self::ConfigVersion { .. } => "config_version",
            Self::ConfigPull { .. } => "config_pull",
            Self::ConfigParts { .. } => "config_parts",
            Self::Recall { .. } => "recall",
            Self::Claim { .. } => "claim",
            Self::ClaimAnswer { .. } => "claim_answer",
            Self::ClaimEnd { .. } => "claim_end",
            Self::Leaving { .. } => "leaving",
            Self::Borrow { .. } => "borrow",
            Self::Lent { .. } => "lent",
            Self::Repaid { .. } => "repaid",
            Self::StoreRegained => "store_regained",
            Self::ServerEnded { .. } => "server_ended",
            Self::AnswerQuery { .. } => "answer_query",
            Self::PartAnswers { .. } => "part_answers",
            Self::Quarantine { .. } => "quarantine",
            Self::StoreNews { .. } => "store_news",
            Self::ServerSpeeds { .. } => "server_speeds",
        }
    }

    /// Encodes the message as a frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame would be larger than [`FRAME_LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let frame = postcard::to_stdvec(self).map_err(|_| EncodeError { size: 0 })?;
        if frame.len() > FRAME_LIMIT {
            return Err(EncodeError { size: frame.len() });
        }
        Ok(frame)
    }

    /// Decodes the message in a frame. Memory use is bounded by a small multiple of
    /// [`FRAME_LIMIT`].
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large, is malformed, or has trailing bytes.
    pub fn decode(frame: &[u8]) -> Result<Self, DecodeError> {
        if frame.len() > FRAME_LIMIT {
            return Err(DecodeError::TooLarge);
        }
        let (message, trailing) =
            postcard::take_from_bytes(frame).map_err(DecodeError::Malformed)?;
        if !trailing.is_empty() {
            return Err(DecodeError::Trailing(trailing.len()));
        }
        Ok(message)
    }
}
